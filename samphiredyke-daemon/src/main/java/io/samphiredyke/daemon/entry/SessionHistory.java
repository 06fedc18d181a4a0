package io.samphiredyke.daemon.entry;

import io.samphiredyke.net.admin.RequestExplanation;
import io.samphiredyke.net.control.ControlEventLoop;
import java.util.ArrayList;
import java.util.List;

/**
 * The timeline of one request, shown to operators.
 *
 * <p>Keeps the first {@value #MAX_STEPS} steps and drops later ones.
 */
final class SessionHistory {

  private static final int MAX_STEPS = 64;

  private final ControlEventLoop loop;
  private final List<RequestExplanation.Step> steps = new ArrayList<>();

  SessionHistory(ControlEventLoop loop) {
    this.loop = loop;
  }

  void add(String event, String detail) {
    if (steps.size() < MAX_STEPS) {
      steps.add(new RequestExplanation.Step(loop.epochMillis(), event, detail));
    }
  }

  List<RequestExplanation.Step> steps() {
    return List.copyOf(steps);
  }
}
