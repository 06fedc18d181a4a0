package io.samphiredyke.core.config;

/**
 * Outcome of a record, kept to detect and ignore records that were appended twice.
 *
 * @param recordId the id of the record
 * @param offset the log offset of the first record with this id
 * @param applied whether it was applied; false if it was rejected
 */
public record RecordOutcome(String recordId, long offset, boolean applied) {}
