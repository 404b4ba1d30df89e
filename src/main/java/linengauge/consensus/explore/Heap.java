package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.StateMachine;

/** The plainest machine: all decisions in order, as numbers. */
final class Heap implements StateMachine {
  private final List<Long> all = new ArrayList<>();
  private final Heard heard;
  private long before;

  /** Told of each decision as it is applied. */
  interface Heard {
    void applied(long index, long value);
  }

  Heap() {
    this((index, value) -> {});
  }

  Heap(Heard heard) {
    this.heard = heard;
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    long value = new MessageReader(decision).num();
    heard.applied(index, value);
    all.add(value);
    if (all.size() > 64) { // the oldest as one number, so that its state stays small
      before = before * 31 + all.remove(0);
    }
  }

  @Override
  public byte[] whole() {
    MessageWriter to = new MessageWriter().num(before).num(all.size());
    all.forEach(to::num);
    return to.done();
  }

  @Override
  public void restore(byte[] whole) {
    all.clear();
    if (whole.length == 0) {
      before = 0;
      return;
    }
    MessageReader from = new MessageReader(whole);
    before = from.num();
    for (int n = from.num(0, 64); n > 0; n--) {
      all.add(from.num());
    }
    from.end();
  }
}
