package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Stand-in media boxes (docs/protocol/box.md), all on one event loop, with the links and uplinks
 * that they share. Each box records the traffic on its sockets before any fault is applied to it.
 */
public final class BoxFleet {
  /** The settings that all boxes of a fleet share; spans are in milliseconds. */
  public record BoxSpec(
      int streams,
      double[] ladderKb,
      Map<String, Double> rateFactors,
      int setUpMs,
      int leaseMs,
      int noteDelayMs,
      int loadReportIntervalMs,
      boolean reportsLoadInAnswers,
      boolean reportsUplink,
      int coldMs,
      double startCapacity,
      double fallMultiple,
      int fallAfterMs) {}

  /** The address and location of one box. */
  public record BoxLocation(long id, String host, int port, int cell, String building) {}

  private final Vertx vertx;
  private final BoxSpec spec;
  private final Tap tap;
  private final NetworkLinks links;
  private final SplittableRandom random;
  private final MediaRates rates;
  private final List<StandInBox> boxes = new ArrayList<>();
  private int extraNoteDelayMs;

  /**
   * Draws the capacity of each link and uplink up to a fifth above or below the nominal one, as
   * real capacities differ from the reported ones.
   */
  public BoxFleet(
      Vertx vertx,
      BoxSpec spec,
      List<BoxLocation> locations,
      int racks,
      double linkKb,
      double uplinkKb,
      long seed,
      Tap tap) {
    this.vertx = vertx;
    this.spec = spec;
    this.tap = tap;
    this.random = new SplittableRandom(seed);
    this.rates = new MediaRates(spec, random);
    double[] sizes = new double[locations.size()];
    int[] rackOf = new int[locations.size()];
    double[] uplinks = new double[racks];
    for (int i = 0; i < sizes.length; i++) {
      sizes[i] = linkKb * (0.8 + 0.4 * random.nextDouble());
      rackOf[i] = locations.get(i).cell() % racks;
    }
    for (int i = 0; i < racks; i++) {
      uplinks[i] = uplinkKb * (0.8 + 0.4 * random.nextDouble());
    }
    this.links = new NetworkLinks(sizes, rackOf, uplinks);
    for (int i = 0; i < locations.size(); i++) {
      boxes.add(new StandInBox(this, i, locations.get(i)));
    }
  }

  /** Starts all boxes; they are warm. */
  public Future<?> open() {
    List<Future<?>> all = new ArrayList<>();
    for (StandInBox box : boxes) {
      all.add(box.listen(false));
    }
    vertx.setPeriodic(1000, t -> boxes.forEach(StandInBox::everySecond));
    vertx.setPeriodic(SegmentSender.TICK_MS, t -> boxes.forEach(StandInBox::tick));
    return Future.all(all);
  }

  public List<StandInBox> boxes() {
    return boxes;
  }

  public int racks() {
    return links.racks();
  }

  public void setUplinkCapacity(int rack, double share) {
    links.setUplinkCapacity(rack, share);
  }

  /** Delays notes by this much in addition to the usual delay. */
  public void setExtraNoteDelay(int ms) {
    extraNoteDelayMs = ms;
  }

  public int viewings() {
    return boxes.stream().mapToInt(StandInBox::runningCount).sum();
  }

  /* ---- shared by the boxes ---- */

  Vertx vertx() {
    return vertx;
  }

  BoxSpec spec() {
    return spec;
  }

  Tap tap() {
    return tap;
  }

  NetworkLinks links() {
    return links;
  }

  SplittableRandom random() {
    return random;
  }

  MediaRates rates() {
    return rates;
  }

  int extraNoteDelayMs() {
    return extraNoteDelayMs;
  }
}
