package linengauge.front;

import io.vertx.core.Vertx;
import java.util.PriorityQueue;

/**
 * Wake-ups of the desk on one timer of the library: viewings ask for several each, most of which have nothing left to do
 * when they come. Used on the desk only; a wake leaves when it is due, and no span is longer than the site file's longest.
 */
final class Wakes {
    private static final class Due implements Comparable<Due> {
        private final long at;
        private final long number;
        private final Runnable step;

        private Due(long at, long number, Runnable step) {
            this.at = at;
            this.number = number;
            this.step = step;
        }

        @Override
        public int compareTo(Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final Vertx vertx;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long number;
    private long timerAt = Long.MAX_VALUE;

    Wakes(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Runs the step once, not earlier than after so many microseconds and never within this call. */
    void after(long micros, Runnable step) {
        long at = Wall.micros() + Math.max(0, micros);
        queue.add(new Due(at, number++, step));
        arm();
    }

    private void arm() {
        Due next = queue.peek();
        if (next == null || next.at >= timerAt) {
            return;
        }
        timerAt = next.at;
        long mine = timerAt;
        vertx.setTimer(Math.max(1, (next.at - Wall.micros() + 999) / 1000), t -> {
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
            while (!queue.isEmpty() && queue.peek().at <= now && queue.peek().number < last) {
                queue.poll().step.run();
            }
        } finally {
            arm();
        }
    }

    int waiting() {
        return queue.size();
    }
}
