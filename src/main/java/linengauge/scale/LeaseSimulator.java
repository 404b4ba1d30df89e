package linengauge.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linengauge.lease.LeaseSettings;
import linengauge.lease.explore.LeaseMeasurement;
import linengauge.lease.explore.MeasuredEvent;
import linengauge.membership.explore.SimulationFigures;

/** Membership by lease, with the usual settings: one run for each event, a minute after a start. */
public final class LeaseSimulator implements FleetSimulator {
  private static final int LEAST_FRONTS = 60;
  private static final int MOST_FRONTS = 4000;

  /** Of what one front holds of another. */
  private static final long BYTES_A_PAIR = 300;

  private static final long BYTES_AT_LEAST = 200 << 20;

  @Override
  public String subject() {
    return PageTables.LEASE;
  }

  @Override
  public List<String> events() {
    return Arrays.stream(MeasuredEvent.values()).map(LeaseSimulator::name).toList();
  }

  private static String name(MeasuredEvent event) {
    return SimulatedMeasurements.eventName(event.name());
  }

  @Override
  public int leastFronts() {
    return LEAST_FRONTS;
  }

  @Override
  public int mostFronts() {
    return MOST_FRONTS;
  }

  @Override
  public long heapBytes(int fronts) {
    return BYTES_AT_LEAST + BYTES_A_PAIR * fronts * fronts;
  }

  @Override
  public Played play(int fronts, long seed, List<String> events) {
    List<SimulationFigures> figures = new ArrayList<>();
    int virtualSeconds = 0;
    for (MeasuredEvent event : MeasuredEvent.values()) {
      if (events.contains(name(event))) {
        SimulationFigures run =
            new LeaseMeasurement(LeaseSettings.USUAL, event, fronts, seed).play();
        figures.add(run);
        virtualSeconds += run.traffic().toSecond();
      }
    }
    return new Played(figures, virtualSeconds);
  }
}
