package linengauge.flow;

import java.util.LinkedHashMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * How many peers may be let go in a window: a least number, and more for each peer that moves. A
 * peer counts as moving for half the span that evidence takes, so that by the time anybody is found
 * slow for a fault of ours, those who moved before it are forgotten. Guards against emptying the
 * house for a fault of our own: where our uplink is full or our machine starved nobody moves, and
 * hardly anybody is let go. It could hurt where nobody but slow peers is there: they are then let
 * go no faster than the least number.
 */
final class Allowance {
  private static final int SLOTS = 16;

  private final long slotMicros;
  private final int least;
  private final double perMover;
  private final Span moving;
  private final int most;
  private final int[] gone = new int[SLOTS];
  private long passed;
  private int at;

  /**
   * When each peer last moved, the latest last; each leaves after its span, and the first where
   * there are too many.
   */
  private final LinkedHashMap<Long, Moment> movers = new LinkedHashMap<>();

  Allowance(FlowSettings terms) {
    this.slotMicros =
        Math.max(1, terms.letGoWindow().micros() / (SLOTS - 1)); // the present slot is not whole
    this.least = terms.letGoLeast();
    this.perMover = terms.letGoPerMover();
    this.moving = terms.evidence().times(0.5);
    this.most = terms.peers();
  }

  void moved(long peer, Moment own) {
    movers.remove(peer);
    movers.put(peer, own);
    if (movers.size() > most) {
      movers.remove(movers.keySet().iterator().next());
    }
  }

  /** A span has gone by, up to this moment of the loop's own time. */
  void passed(Span span, Moment own) {
    movers.values().removeIf(m -> moving.under(own.since(m)));
    passed += span.micros();
    for (int i = 0; passed >= slotMicros && i <= SLOTS; i++) {
      passed -= slotMicros;
      at = (at + 1) % SLOTS;
      gone[at] = 0;
    }
    passed %= slotMicros;
  }

  int movers() {
    return movers.size();
  }

  int left() {
    int taken = 0;
    for (int n : gone) {
      taken += n;
    }
    return Math.max(0, least + (int) (perMover * movers.size()) - taken);
  }

  void took() {
    gone[at]++;
  }
}
