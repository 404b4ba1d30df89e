package linengauge.front;

import io.vertx.core.Vertx;
import java.util.Arrays;
import linengauge.net.WallClock;
import linengauge.session.Transport;

/**
 * Timers of the session loop on a single timer of the library: each viewing needs several, most of
 * which are cancelled. The heap keeps the index of each timer, so that a cancelled one is removed
 * at once and retains nothing. Confined to the session loop. The number of timers is bounded by
 * what the session manager may hold, and a timer is removed when it is due or cancelled.
 */
final class Timers {
  private final class PendingTimer implements Transport.Timer {
    private final long dueMicros;
    private final long sequence;
    private final Runnable step;
    private int heapIndex;

    private PendingTimer(long dueMicros, long sequence, Runnable step) {
      this.dueMicros = dueMicros;
      this.sequence = sequence;
      this.step = step;
    }

    private boolean isBefore(PendingTimer other) {
      return dueMicros != other.dueMicros ? dueMicros < other.dueMicros : sequence < other.sequence;
    }

    @Override
    public void cancel() {
      if (heapIndex >= 0) {
        remove(this);
      }
    }
  }

  private final Vertx vertx;
  private PendingTimer[] heap = new PendingTimer[64];
  private int size;
  private long nextSequence;
  private long armedForMicros = Long.MAX_VALUE;

  Timers(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Runs the step once, not earlier than after the delay and never within this call. */
  Transport.Timer schedule(long delayMicros, Runnable step) {
    PendingTimer timer =
        new PendingTimer(WallClock.micros() + Math.max(0, delayMicros), nextSequence++, step);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    siftUp(timer, size++);
    armTimer();
    return timer;
  }

  private void siftUp(PendingTimer timer, int start) {
    int index = start;
    while (index > 0 && timer.isBefore(heap[(index - 1) / 2])) {
      put(heap[(index - 1) / 2], index);
      index = (index - 1) / 2;
    }
    put(timer, index);
  }

  private void siftDown(PendingTimer timer, int start) {
    int index = start;
    while (2 * index + 1 < size) {
      int child = 2 * index + 1;
      child += child + 1 < size && heap[child + 1].isBefore(heap[child]) ? 1 : 0;
      if (!heap[child].isBefore(timer)) {
        break;
      }
      put(heap[child], index);
      index = child;
    }
    put(timer, index);
  }

  private void put(PendingTimer timer, int index) {
    heap[index] = timer;
    timer.heapIndex = index;
  }

  private void remove(PendingTimer timer) {
    int index = timer.heapIndex;
    timer.heapIndex = -1;
    PendingTimer last = heap[--size];
    heap[size] = null;
    if (last != timer) {
      if (index > 0 && last.isBefore(heap[(index - 1) / 2])) {
        siftUp(last, index);
      } else {
        siftDown(last, index);
      }
    }
  }

  private void armTimer() {
    if (size == 0 || heap[0].dueMicros >= armedForMicros) {
      return;
    }
    armedForMicros = heap[0].dueMicros;
    long armedFor = armedForMicros;
    vertx.setTimer(
        Math.max(1, (armedFor - WallClock.micros() + 999) / 1000),
        t -> {
          if (armedForMicros == armedFor) {
            armedForMicros = Long.MAX_VALUE;
            runDue();
          }
        });
  }

  /** Runs all due timers in order. Timers that a step schedules wait for the next round. */
  private void runDue() {
    long now = WallClock.micros();
    long sequenceLimit = nextSequence;
    try {
      while (size > 0 && heap[0].dueMicros <= now && heap[0].sequence < sequenceLimit) {
        PendingTimer timer = heap[0];
        remove(timer);
        timer.step.run();
      }
    } finally {
      armTimer();
    }
  }

  int pending() {
    return size;
  }
}
