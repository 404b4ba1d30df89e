package linengauge.scale;

import java.util.List;
import linengauge.membership.MembershipSettings;
import linengauge.membership.explore.GossipMeasurement;
import linengauge.membership.explore.SimulationFigures;

/** Membership by gossip, with the usual settings but for the bound on members. */
public final class GossipSimulator implements FleetSimulator {
  private static final int LEAST_FRONTS = 8;
  private static final int MOST_FRONTS = 4000;
  private static final int MOST_MEMBERS = 4096;

  /** Of what one front holds of another; tried: 0.5 GB at 900 fronts and 1 GB at 1,800. */
  private static final long BYTES_A_PAIR = 300;

  private static final long BYTES_AT_LEAST = 200 << 20;

  @Override
  public String subject() {
    return PageTables.GOSSIP;
  }

  @Override
  public List<String> events() {
    return List.of("start", "quiet", "front killed");
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

  /** One run holds all its events. */
  @Override
  public Played play(int fronts, long seed, List<String> events) {
    var run = new GossipMeasurement(MembershipSettings.DEFAULT, fronts, seed, MOST_MEMBERS);
    List<SimulationFigures> figures = run.run();
    int end = figures.stream().mapToInt(f -> f.traffic().toSecond()).max().orElseThrow();
    return new Played(figures, end);
  }
}
