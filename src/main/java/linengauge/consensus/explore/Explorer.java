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
 * Plays every schedule up to a bound through real voters: which word arrives next, or never; whose
 * timer comes due; who crashes and begins again with what it had made to last, stands still, or has
 * its folder emptied; what is wanted of whoever takes itself for the leader. The shortest schedules
 * come first, so that the first one that breaks a rule is a shortest.
 */
public final class Explorer {
  /** A broken rule with the schedule that leads to it. */
  public record Found(String what, List<String> schedule) {}

  /**
   * What an exploration came to.
   *
   * @param depth to which all schedules were played
   */
  public record Outcome(long states, int depth, boolean whole, Found found) {
    public boolean held() {
      return found == null;
    }
  }

  private record Trail(Trail before, String choice, int length) {
    List<String> all() {
      List<String> list = new ArrayList<>();
      for (Trail t = this; t != null && t.choice != null; t = t.before) {
        list.add(0, t.choice);
      }
      return list;
    }
  }

  private record Open(ModelState world, Trail trail) {}

  private Explorer() {}

  public static Outcome explore(Schedule plan) {
    Set<Mark> met = new HashSet<>();
    ArrayDeque<Open> open = new ArrayDeque<>();
    ModelState first = new ModelState(plan);
    String wrong = first.prelude();
    if (wrong != null) {
      return new Outcome(0, 0, true, new Found(wrong, plan.prelude()));
    }
    open.add(new Open(first, new Trail(null, null, 0)));
    int depth = 0;
    while (!open.isEmpty()) {
      Open o = open.poll();
      depth = o.trail.length;
      if (depth == plan.depth()) {
        break;
      }
      if (met.size() > plan.states()) {
        return new Outcome(met.size(), depth, false, null);
      }
      for (String choice : o.world.choices()) {
        ModelState next = new ModelState(o.world);
        String broken = next.go(choice);
        Trail trail = new Trail(o.trail, choice, depth + 1);
        if (broken != null) {
          return new Outcome(
              met.size(),
              depth,
              true,
              new Found(broken, trail.all().stream().map(Explorer::told).toList()));
        }
        if (met.add(Mark.of(next.mark())) && depth + 1 < plan.depth()) {
          open.add(new Open(next, trail));
        }
      }
    }
    return new Outcome(met.size(), plan.depth(), true, null);
  }

  /** Which word, to whom: the first numbers of its bytes say it. */
  static String told(String choice) {
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

  /** A state's fingerprint, half of a SHA-256: that two states share one is as good as never. */
  private record Mark(long a, long b) {
    static Mark of(List<Object> all) {
      try {
        byte[] sum =
            MessageDigest.getInstance("SHA-256")
                .digest(all.toString().getBytes(StandardCharsets.UTF_8));
        java.nio.ByteBuffer b = java.nio.ByteBuffer.wrap(sum);
        return new Mark(b.getLong(), b.getLong());
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
