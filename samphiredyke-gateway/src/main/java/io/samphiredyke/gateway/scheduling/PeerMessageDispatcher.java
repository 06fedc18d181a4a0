package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.platform.StoreRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Passes the messages of other hosts to the components that handle them. */
final class PeerMessageDispatcher {

  private final SlotClient slotClient;
  private final EndpointStatements statements;
  private final PromptQuarantine quarantine;
  private final CrashWatch crashes;
  private final StreamOrigins streams;
  private @Nullable EndpointUpdateListener endpointUpdateListener;
  private PeerGroup.@Nullable ConfigurationPositionListener configurationPositionListener;

  private Consumer<RolloutState> rolloutListener = state -> {};

  PeerMessageDispatcher(
      SlotClient slotClient,
      EndpointStatements statements,
      PromptQuarantine quarantine,
      CrashWatch crashes,
      StreamOrigins streams) {
    this.slotClient = slotClient;
    this.statements = statements;
    this.quarantine = quarantine;
    this.crashes = crashes;
    this.streams = streams;
  }

  void setEndpointUpdateListener(EndpointUpdateListener listener) {
    endpointUpdateListener = listener;
  }

  void setConfigurationPositionListener(PeerGroup.ConfigurationPositionListener listener) {
    configurationPositionListener = listener;
  }

  void setRolloutListener(Consumer<RolloutState> listener) {
    rolloutListener = listener;
  }

  /** Handles a message of another host. */
  void received(String from, SchedulingMessage message) {
    if (message instanceof SchedulingMessage.EndpointLimit limit) {
      statements.received(from, limit);
    } else if (message instanceof SchedulingMessage.EndpointBrittle brittle) {
      statements.received(from, brittle);
    } else if (message instanceof SchedulingMessage.EndpointLeaving leaving) {
      statements.received(leaving);
    } else if (message instanceof SchedulingMessage.PartQuarantined part) {
      quarantine.received(from, part);
    } else if (message instanceof SchedulingMessage.ConfigurationPosition position) {
      receivedPosition(from, position);
    } else if (message instanceof SchedulingMessage.RolloutStaged staged) {
      rolloutListener.accept(staged.state());
    } else if (message instanceof SchedulingMessage.EndpointUpdate update) {
      receivedUpdate(update);
    } else if (!crashes.received(from, message) && !streams.received(from, message)) {
      slotClient.received(from, message);
    }
  }

  private void receivedPosition(String from, SchedulingMessage.ConfigurationPosition position) {
    PeerGroup.ConfigurationPositionListener listener = configurationPositionListener;
    if (listener != null) {
      listener.positionStated(from, position.era(), position.nextOffset());
    }
  }

  private void receivedUpdate(SchedulingMessage.EndpointUpdate update) {
    EndpointUpdateListener listener = endpointUpdateListener;
    if (listener == null) {
      return;
    }
    List<StoreRecord> changes = new ArrayList<>();
    for (SchedulingMessage.EntryChange change : update.changes()) {
      byte[] value = change.value().length == 0 ? null : change.value();
      changes.add(new StoreRecord(change.offset(), change.key(), value));
    }
    listener.endpointsUpdated(update.era(), update.completeFrom(), update.nextOffset(), changes);
  }
}
