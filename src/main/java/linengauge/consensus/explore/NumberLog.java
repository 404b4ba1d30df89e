package linengauge.consensus.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.StateMachine;

/** A minimal state machine: all applied entries in order, as numbers. */
final class NumberLog implements StateMachine {
  private final List<Long> recent = new ArrayList<>();
  private final Listener listener;
  private long foldedOldest;

  /** Notified of each entry as it is applied. */
  interface Listener {
    void onApplied(long index, long value);
  }

  NumberLog() {
    this((index, value) -> {});
  }

  NumberLog(Listener listener) {
    this.listener = listener;
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    long value = new MessageReader(decision).num();
    listener.onApplied(index, value);
    recent.add(value);
    if (recent.size() > 64) { // the oldest are folded into one number to keep the state small
      foldedOldest = foldedOldest * 31 + recent.remove(0);
    }
  }

  @Override
  public byte[] whole() {
    MessageWriter to = new MessageWriter().num(foldedOldest).num(recent.size());
    recent.forEach(to::num);
    return to.done();
  }

  @Override
  public void restore(byte[] whole) {
    recent.clear();
    if (whole.length == 0) {
      foldedOldest = 0;
      return;
    }
    MessageReader from = new MessageReader(whole);
    foldedOldest = from.num();
    for (int n = from.num(0, 64); n > 0; n--) {
      recent.add(from.num());
    }
    from.end();
  }
}
