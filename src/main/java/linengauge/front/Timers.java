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
    private final long at;
    private final long number;
    private final Runnable step;
    private int place;

    private PendingTimer(long at, long number, Runnable step) {
      this.at = at;
      this.number = number;
      this.step = step;
    }

    private boolean before(PendingTimer o) {
      return at != o.at ? at < o.at : number < o.number;
    }

    @Override
    public void cancel() {
      if (place >= 0) {
        remove(this);
      }
    }
  }

  private final Vertx vertx;
  private PendingTimer[] heap = new PendingTimer[64];
  private int size;
  private long number;
  private long timerAt = Long.MAX_VALUE;

  Timers(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Runs the step once, not earlier than after so many microseconds and never within this call. */
  Carrier.Wake after(long micros, Runnable step) {
    PendingTimer d = new PendingTimer(Wall.micros() + Math.max(0, micros), number++, step);
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, 2 * size);
    }
    up(d, size++);
    arm();
    return d;
  }

  private void up(PendingTimer d, int from) {
    int i = from;
    while (i > 0 && d.before(heap[(i - 1) / 2])) {
      set(heap[(i - 1) / 2], i);
      i = (i - 1) / 2;
    }
    set(d, i);
  }

  private void down(PendingTimer d, int from) {
    int i = from;
    while (2 * i + 1 < size) {
      int child = 2 * i + 1;
      child += child + 1 < size && heap[child + 1].before(heap[child]) ? 1 : 0;
      if (!heap[child].before(d)) {
        break;
      }
      set(heap[child], i);
      i = child;
    }
    set(d, i);
  }

  private void set(PendingTimer d, int i) {
    heap[i] = d;
    d.place = i;
  }

  private void remove(PendingTimer d) {
    int i = d.place;
    d.place = -1;
    PendingTimer last = heap[--size];
    heap[size] = null;
    if (last != d) {
      if (i > 0 && last.before(heap[(i - 1) / 2])) {
        up(last, i);
      } else {
        down(last, i);
      }
    }
  }

  private void arm() {
    if (size == 0 || heap[0].at >= timerAt) {
      return;
    }
    timerAt = heap[0].at;
    long mine = timerAt;
    vertx.setTimer(
        Math.max(1, (mine - Wall.micros() + 999) / 1000),
        t -> {
          if (timerAt == mine) {
            timerAt = Long.MAX_VALUE;
            run();
          }
        });
  }

  /** All that is due runs in its order; what a step asks for waits for the next round. */
  private void run() {
    long now = Wall.micros();
    long last = number;
    try {
      while (size > 0 && heap[0].at <= now && heap[0].number < last) {
        PendingTimer d = heap[0];
        remove(d);
        d.step.run();
      }
    } finally {
      arm();
    }
  }

  int waiting() {
    return size;
  }
}
