package io.samphiredyke.core.config;

/**
 * What became of a record, kept so that a repeated append does not apply again.
 *
 * @param recordId the id of the record
 * @param offset the log offset where the record was first seen
 * @param applied whether it was applied; false if it was rejected
 */
public record RecordOutcome(String recordId, long offset, boolean applied) {}
