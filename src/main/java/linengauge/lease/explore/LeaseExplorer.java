package linengauge.lease.explore;

import java.util.List;
import java.util.function.Consumer;
import linengauge.lease.LeaseSettings;

/** Plays drawn schedules of one seed after another, and shortens those that break a rule. */
public final class LeaseExplorer {
  /**
   * A schedule that breaks a rule.
   *
   * @param seed it was drawn from
   * @param faults the fewest found with which it still breaks one
   */
  public record Finding(long seed, List<String> broken, LeaseSchedule shortest) {
    /** The faults in words. */
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
   * Plays all seeds from the one to before the other.
   *
   * @param found told of each that breaks a rule
   * @return how many broke one
   */
  public int explore(
      long fromSeed, long toSeed, int fronts, int incidents, Consumer<Finding> found) {
    int findings = 0;
    for (long seed = fromSeed; seed < toSeed; seed++) {
      LeaseSchedule schedule = LeaseSchedule.drawn(seed, fronts, incidents);
      if (!broken(schedule).isEmpty()) {
        findings++;
        found.accept(shortened(schedule));
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
