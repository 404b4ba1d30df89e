package linengauge.scale.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.scale.Measurement;
import linengauge.scale.Measurement.Statistic;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks byte counts and applied changes with one voter and a few followers. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class LogFollowingTest {
  /** Followers poll five times a second; a frame has well over 50 and under 400 bytes. */
  private static final double MIN_BYTES_PER_SECOND = 50;

  private static final double MAX_BYTES_PER_SECOND = 3000;

  private static double value(List<Measurement> measured, String quantity, Statistic statistic) {
    List<Measurement> found =
        measured.stream()
            .filter(m -> m.quantity().equals(quantity) && m.statistic() == statistic)
            .toList();
    assertEquals(1, found.size(), quantity);
    return found.get(0).mean();
  }

  /** Guards against a measurement that counts the voter's own connection or nothing at all. */
  @Test
  void quietLogCostsEachFollowerItsPollsAndReplies() throws Exception {
    List<Measurement> measured = LogFollowing.measure(new LogFollowing.Plan(5, 2, 0));
    for (String quantity : List.of("bytes sent", "bytes received")) {
      double bytes = value(measured, quantity, Statistic.MEAN);
      assertTrue(
          bytes > MIN_BYTES_PER_SECOND && bytes < MAX_BYTES_PER_SECOND, quantity + " " + bytes);
    }
    assertFalse(measured.stream().anyMatch(m -> m.quantity().startsWith("change")));
    assertTrue(measured.stream().allMatch(m -> m.size() == 5 && m.event().equals("quiet")));
  }

  /** Guards against counting a change as in force before every follower has applied it. */
  @Test
  void changesAreAppliedByAllFollowers() throws Exception {
    List<Measurement> measured = LogFollowing.measure(new LogFollowing.Plan(5, 2, 120));
    double mean = value(measured, "change in force everywhere after", Statistic.MEAN);
    double most = value(measured, "change in force everywhere after", Statistic.MAXIMUM);
    assertTrue(mean > 0 && mean <= most, mean + " of " + most);
    double received = value(measured, "bytes received", Statistic.MEAN);
    assertTrue(received > value(measured, "bytes sent", Statistic.MEAN), "changes come on top");
  }
}
