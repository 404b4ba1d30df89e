package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Stand-in media boxes (docs/protocol/box.md), all on one event loop, with the links and uplinks
 * that they share. Each taps what it sees on its sockets before any fault acts on it.
 */
public final class BoxFleet {
  /** What all boxes of a fleet have in common; spans in milliseconds. */
  public record Kind(
      int streams,
      double[] ladderKb,
      Map<String, Double> rateFactors,
      int setUpMs,
      int leaseMs,
      int seeMs,
      int tellMs,
      boolean loadInAnswers,
      boolean tellsUplink,
      int coldMs,
      double startCapacity,
      double fallMultiple,
      int fallAfterMs) {}

  /** The place of one box. */
  public record Place(long id, String host, int port, int cell, String building) {}

  private final Vertx vertx;
  private final Kind kind;
  private final Tap tap;
  private final Links links;
  private final SplittableRandom random;
  private final MediaRates rates;
  private final List<StandInBox> boxes = new ArrayList<>();
  private int extraNoteMs;

  /**
   * Link and uplink sizes are drawn a quarter and a fifth up or down, as real ones lie off what is
   * told.
   */
  public BoxFleet(
      Vertx vertx,
      Kind kind,
      List<Place> places,
      int racks,
      double linkKb,
      double uplinkKb,
      long seed,
      Tap tap) {
    this.vertx = vertx;
    this.kind = kind;
    this.tap = tap;
    this.random = new SplittableRandom(seed);
    this.rates = new MediaRates(kind, random);
    double[] sizes = new double[places.size()];
    int[] rackOf = new int[places.size()];
    double[] uplinks = new double[racks];
    for (int i = 0; i < sizes.length; i++) {
      sizes[i] = linkKb * (0.8 + 0.4 * random.nextDouble());
      rackOf[i] = places.get(i).cell() % racks;
    }
    for (int i = 0; i < racks; i++) {
      uplinks[i] = uplinkKb * (0.8 + 0.4 * random.nextDouble());
    }
    this.links = new Links(sizes, rackOf, uplinks);
    for (int i = 0; i < places.size(); i++) {
      boxes.add(new StandInBox(this, i, places.get(i)));
    }
  }

  /** Opens all boxes, warm. */
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

  public void uplinkGives(int rack, double part) {
    links.uplinkGives(rack, part);
  }

  /** Notes come this much later than usual. */
  public void notesLater(int ms) {
    extraNoteMs = ms;
  }

  public int viewings() {
    return boxes.stream().mapToInt(StandInBox::runningCount).sum();
  }

  /* ---- what its boxes share ---- */

  Vertx vertx() {
    return vertx;
  }

  Kind kind() {
    return kind;
  }

  Tap tap() {
    return tap;
  }

  Links links() {
    return links;
  }

  SplittableRandom random() {
    return random;
  }

  MediaRates rates() {
    return rates;
  }

  int extraNoteMs() {
    return extraNoteMs;
  }
}
