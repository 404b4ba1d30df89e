package linengauge.consensus.explore;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores every schedule up to a bound with real voters: which message is delivered next or lost;
 * whose timer expires; who crashes and restarts from its saved state, pauses, or loses its disk;
 * what is requested of a voter that considers itself leader. The search is breadth-first, so the
 * first schedule found to violate an invariant is a shortest one.
 */
public final class Explorer {
  /** A violated invariant with the schedule that leads to it. */
  public record Violation(String description, List<String> schedule) {}

  /**
   * The result of an exploration.
   *
   * @param depth the length up to which all schedules were explored
   */
  public record Outcome(long states, int depth, boolean complete, Violation violation) {
    public boolean isCorrect() {
      return violation == null;
    }
  }

  private record Path(Path previous, String choice, int length) {
    List<String> all() {
      List<String> list = new ArrayList<>();
      for (Path t = this; t != null && t.choice != null; t = t.previous) {
        list.add(0, t.choice);
      }
      return list;
    }
  }

  private record Unexpanded(ModelState state, Path path) {}

  private Explorer() {}

  public static Outcome explore(Scenario scenario) {
    Set<Fingerprint> visited = new HashSet<>();
    ArrayDeque<Unexpanded> frontier = new ArrayDeque<>();
    ModelState first = new ModelState(scenario);
    String wrong = first.playSetup();
    if (wrong != null) {
      return new Outcome(0, 0, true, new Violation(wrong, scenario.setup()));
    }
    frontier.add(new Unexpanded(first, new Path(null, null, 0)));
    int depth = 0;
    while (!frontier.isEmpty()) {
      Unexpanded current = frontier.poll();
      depth = current.path.length;
      if (depth == scenario.maxDepth()) {
        break;
      }
      if (visited.size() > scenario.maxStates()) {
        return new Outcome(visited.size(), depth, false, null);
      }
      for (String choice : current.state.choices()) {
        ModelState next = new ModelState(current.state);
        String violation = next.apply(choice);
        Path path = new Path(current.path, choice, depth + 1);
        if (violation != null) {
          return new Outcome(
              visited.size(),
              depth,
              true,
              new Violation(violation, path.all().stream().map(Explorer::describe).toList()));
        }
        if (visited.add(Fingerprint.of(next.fingerprint())) && depth + 1 < scenario.maxDepth()) {
          frontier.add(new Unexpanded(next, path));
        }
      }
    }
    return new Outcome(visited.size(), scenario.maxDepth(), true, null);
  }

  /** Names the kind, sender and receiver of a message, which its first bytes hold. */
  static String describe(String choice) {
    if (!choice.startsWith("arrives ")) {
      return choice;
    }
    String[] bytes = choice.substring(choice.indexOf('[') + 1, choice.length() - 1).split(", ");
    int kind = Integer.parseInt(bytes[7]);
    return linengauge.consensus.RaftMessage.Kind.values()[kind]
        + " "
        + Integer.parseInt(bytes[15])
        + " to "
        + choice.substring("arrives ".length(), choice.indexOf('['));
  }

  /** Half of a SHA-256 hash of a state: the probability of a collision is negligible. */
  private record Fingerprint(long a, long b) {
    static Fingerprint of(List<Object> all) {
      try {
        byte[] sum =
            MessageDigest.getInstance("SHA-256")
                .digest(all.toString().getBytes(StandardCharsets.UTF_8));
        java.nio.ByteBuffer b = java.nio.ByteBuffer.wrap(sum);
        return new Fingerprint(b.getLong(), b.getLong());
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
