package linengauge.front;

import io.vertx.core.Vertx;
import java.util.Arrays;
import linengauge.carry.Wall;
import linengauge.session.Carrier;

/**
 * Wake-ups of the desk on one timer of the library: viewings ask for several each, most of which
 * are called off. A heap that knows where each wake stands, so that one called off leaves at once
 * and holds nothing. Used on the desk only; it is bounded by what the core may hold, and a wake
 * leaves when it is due or called off.
 */
final class Timers {
  private final class PendingTimer implements Carrier.Wake {
    private final long dueMicros;
    private final long sequence;
    private final Runnable step;
    private int heapIndex;

    private PendingTimer(long at, long number, Runnable step) {
      this.dueMicros = at;
      this.sequence = number;
      this.step = step;
    }

    private boolean isBefore(PendingTimer o) {
      return dueMicros != o.dueMicros ? dueMicros < o.dueMicros : sequence < o.sequence;
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

  /** Runs the step once, not earlier than after so many microseconds and never within this call. */
  Carrier.Wake schedule(long micros, Runnable step) {
    PendingTimer d = new PendingTimer(Wall.micros() + Math.max(0, micros), nextSequence++, step);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    siftUp(d, size++);
    armTimer();
    return d;
  }

  private void siftUp(PendingTimer d, int from) {
    int i = from;
    while (i > 0 && d.isBefore(heap[(i - 1) / 2])) {
      put(heap[(i - 1) / 2], i);
      i = (i - 1) / 2;
    }
    put(d, i);
  }

  private void siftDown(PendingTimer d, int from) {
    int i = from;
    while (2 * i + 1 < size) {
      int child = 2 * i + 1;
      child += child + 1 < size && heap[child + 1].isBefore(heap[child]) ? 1 : 0;
      if (!heap[child].isBefore(d)) {
        break;
      }
      put(heap[child], i);
      i = child;
    }
    put(d, i);
  }

  private void put(PendingTimer d, int i) {
    heap[i] = d;
    d.heapIndex = i;
  }

  private void remove(PendingTimer d) {
    int i = d.heapIndex;
    d.heapIndex = -1;
    PendingTimer last = heap[--size];
    heap[size] = null;
    if (last != d) {
      if (i > 0 && last.isBefore(heap[(i - 1) / 2])) {
        siftUp(last, i);
      } else {
        siftDown(last, i);
      }
    }
  }

  private void armTimer() {
    if (size == 0 || heap[0].dueMicros >= armedForMicros) {
      return;
    }
    armedForMicros = heap[0].dueMicros;
    long mine = armedForMicros;
    vertx.setTimer(
        Math.max(1, (mine - Wall.micros() + 999) / 1000),
        t -> {
          if (armedForMicros == mine) {
            armedForMicros = Long.MAX_VALUE;
            runDue();
          }
        });
  }

  /** All that is due runs in its order; what a step asks for waits for the next round. */
  private void runDue() {
    long now = Wall.micros();
    long last = nextSequence;
    try {
      while (size > 0 && heap[0].dueMicros <= now && heap[0].sequence < last) {
        PendingTimer d = heap[0];
        remove(d);
        d.step.run();
      }
    } finally {
      armTimer();
    }
  }

  int pending() {
    return size;
  }
}
