package io.samphiredyke.schema.generator;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Generates the sealed interface of all messages and the enum of their type numbers. */
final class MessageTypeWriter {

  private final String packageName;
  private final List<SchemaFile> messages;

  MessageTypeWriter(String packageName, List<SchemaFile> files) {
    this.packageName = packageName;
    this.messages =
        files.stream()
            .filter(file -> file.messageNumber() > 0)
            .sorted(Comparator.comparingInt(SchemaFile::messageNumber))
            .toList();
    long numbers = messages.stream().mapToInt(SchemaFile::messageNumber).distinct().count();
    if (numbers < messages.size()) {
      throw new IllegalArgumentException("two messages have the same x-number");
    }
  }

  String peerMessage() {
    String template =
        """
        package %s;

        /** A message between two hosts. */
        public sealed interface PeerMessage permits %s {

          /** Returns the type of this message. */
          default MessageType messageType() {
            return MessageType.of(getClass());
          }
        }
        """;
    return template.formatted(packageName, join(", ", SchemaFile::typeName));
  }

  String messageType() {
    String template =
        """
        package %s;

        import java.util.Arrays;
        import java.util.Map;
        import java.util.Optional;
        import java.util.function.Function;
        import java.util.stream.Collectors;

        /** The types of messages between two hosts, with their numbers in the protocol. */
        public enum MessageType {
          %s;

          private static final Map<Integer, MessageType> BY_NUMBER =
              Arrays.stream(values())
                  .collect(Collectors.toUnmodifiableMap(MessageType::number, Function.identity()));
          private static final Map<Class<?>, MessageType> BY_CLASS =
              Arrays.stream(values())
                  .collect(
                      Collectors.toUnmodifiableMap(
                          MessageType::messageClass, Function.identity()));

          private final int number;
          private final Class<? extends PeerMessage> messageClass;

          MessageType(int number, Class<? extends PeerMessage> messageClass) {
            this.number = number;
            this.messageClass = messageClass;
          }

          /** Returns the type with the number, or an empty value if this version does not know it. */
          public static Optional<MessageType> ofNumber(int number) {
            return Optional.ofNullable(BY_NUMBER.get(number));
          }

          static MessageType of(Class<? extends PeerMessage> messageClass) {
            return BY_CLASS.get(messageClass);
          }

          /** Returns the number, which never changes between versions. */
          public int number() {
            return number;
          }

          /** Returns the class of messages of this type. */
          public Class<? extends PeerMessage> messageClass() {
            return messageClass;
          }
        }
        """;
    return template.formatted(packageName, join(",\n", MessageTypeWriter::constant));
  }

  private static String constant(SchemaFile file) {
    return "/** %s */\n%s(%d, %s.class)"
        .formatted(
            RecordWriter.toJavadoc(file.description()),
            file.fileName()
                .replace(".json", "")
                .replace('-', '_')
                .toUpperCase(java.util.Locale.ROOT),
            file.messageNumber(),
            file.typeName());
  }

  private String join(String separator, Function<SchemaFile, String> writer) {
    return messages.stream().map(writer).collect(Collectors.joining(separator));
  }
}
