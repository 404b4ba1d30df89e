package linengauge.lease.udp;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import linengauge.consensus.StateMachine;

/**
 * Hands what the log decides from the consensus thread to the registrar's, in order and without a
 * loss. The consensus thread waits where the registrar is behind, and fails where it is far behind:
 * a control machine whose directory cannot follow is better gone than wrong. The registrar never
 * waits for the consensus thread.
 */
final class DecisionQueue implements StateMachine {
  private static final int MOST = 1024;
  private static final long LONGEST_WAIT_MS = 5000;

  private interface Change {
    void on(StateMachine machine);
  }

  private final ArrayBlockingQueue<Change> changes = new ArrayBlockingQueue<>(MOST);
  private final Runnable came;
  private volatile boolean closed;

  /**
   * @param came told on the consensus thread that something waits
   */
  DecisionQueue(Runnable came) {
    this.came = came;
  }

  @Override
  public void apply(long index, long author, byte[] decision) {
    put(machine -> machine.apply(index, author, decision));
  }

  @Override
  public void restore(byte[] whole) {
    put(machine -> machine.restore(whole));
  }

  @Override
  public byte[] whole() {
    throw new UnsupportedOperationException("the log's follower is asked for no state");
  }

  private void put(Change change) {
    try {
      if (!closed && !changes.offer(change, LONGEST_WAIT_MS, TimeUnit.MILLISECONDS)) {
        throw new IllegalStateException("the registrar takes no decisions");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while the registrar was behind", e);
    }
    came.run();
  }

  /** On the registrar's thread: all that waits; whether there was anything. */
  boolean drainTo(StateMachine machine) {
    boolean any = false;
    for (Change change = changes.poll(); change != null; change = changes.poll()) {
      change.on(machine);
      any = true;
    }
    return any;
  }

  /** What comes from now on is passed over. */
  void close() {
    closed = true;
    changes.clear();
  }
}
