package linengauge.lease.explore;

import java.util.List;
import java.util.function.Consumer;
import linengauge.lease.LeaseSettings;

/** Simulates schedules drawn from successive seeds and minimizes those that break a rule. */
public final class LeaseExplorer {
  /**
   * A schedule that breaks a rule.
   *
   * @param seed the seed from which it was drawn
   * @param shortest the smallest schedule found that still breaks a rule
   */
  public record Finding(long seed, List<String> broken, LeaseSchedule shortest) {
    /** The faults as text. */
    public List<String> faults() {
      return shortest.faults().stream().map(Fault::toString).toList();
    }
  }

  private final LeaseSettings settings;
  private final Maker maker;

  public LeaseExplorer(LeaseSettings settings, Maker maker) {
    this.settings = settings;
    this.maker = maker;
  }

  /**
   * Simulates all seeds from the first, inclusive, to the last, exclusive.
   *
   * @param onFinding called for each schedule that breaks a rule
   * @return the number of schedules that broke a rule
   */
  public int explore(
      long fromSeed, long toSeed, int fronts, int incidents, Consumer<Finding> onFinding) {
    int findings = 0;
    for (long seed = fromSeed; seed < toSeed; seed++) {
      LeaseSchedule schedule = LeaseSchedule.drawn(seed, fronts, incidents);
      if (!broken(schedule).isEmpty()) {
        findings++;
        onFinding.accept(shortened(schedule));
      }
    }
    return findings;
  }

  private Finding shortened(LeaseSchedule schedule) {
    LeaseSchedule shortest = schedule;
    int next = 0;
    while (next < shortest.faults().size()) {
      LeaseSchedule shorter = shortest.without(next);
      if (broken(shorter).isEmpty()) {
        next++;
      } else {
        shortest = shorter;
      }
    }
    return new Finding(schedule.seed(), broken(shortest), shortest);
  }

  private List<String> broken(LeaseSchedule schedule) {
    return new LeaseSimulation(settings, schedule, maker).play().broken();
  }
}
