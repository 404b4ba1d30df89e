package linengauge.lease.udp;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import linengauge.consensus.StateMachine;

/**
 * Passes the log's decisions from the consensus thread to the registrar's, in order and without
 * loss. The consensus thread blocks while the queue is full and fails after a time limit: a control
 * machine that stops is better than one whose directory is wrong. The registrar never waits for the
 * consensus thread.
 */
final class DecisionQueue implements StateMachine {
  private static final int MAX_PENDING_CHANGES = 1024;
  private static final long MAX_WAIT_MS = 5000;

  private interface Change {
    void applyTo(StateMachine machine);
  }

  private final ArrayBlockingQueue<Change> changes = new ArrayBlockingQueue<>(MAX_PENDING_CHANGES);
  private final Runnable onChange;
  private volatile boolean closed;

  /**
   * @param onChange called on the consensus thread after a change has been queued
   */
  DecisionQueue(Runnable onChange) {
    this.onChange = onChange;
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
    throw new UnsupportedOperationException("a decision queue has no state to snapshot");
  }

  private void put(Change change) {
    try {
      if (!closed && !changes.offer(change, MAX_WAIT_MS, TimeUnit.MILLISECONDS)) {
        throw new IllegalStateException(
            "the registrar did not take a decision within the time limit");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the registrar", e);
    }
    onChange.run();
  }

  /** Applies all queued changes, on the registrar's thread; returns whether there were any. */
  boolean drainTo(StateMachine machine) {
    boolean any = false;
    for (Change change = changes.poll(); change != null; change = changes.poll()) {
      change.applyTo(machine);
      any = true;
    }
    return any;
  }

  /** Discards the queued changes and all later ones. */
  void close() {
    closed = true;
    changes.clear();
  }
}
