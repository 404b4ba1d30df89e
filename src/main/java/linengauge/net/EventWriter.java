package linengauge.net;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.slf4j.Logger;

/**
 * Writes events to a log on a dedicated thread, so that the producing thread neither formats nor
 * performs I/O. The queue and the number of lines per second are bounded; events beyond either
 * bound are dropped, counted, and reported in a line of their own.
 *
 * @param <E> the type of the events, which must be immutable
 */
public final class EventWriter<E> {
  private static final int MAX_QUEUED_EVENTS = 4096;
  private static final int MAX_LINES_PER_SECOND = 100;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Pause between two batches, so that a busy front rarely wakes the writer thread. */
  private static final long BATCH_INTERVAL_MS = 50;

  private final Logger log;
  private final Function<E, String> format;
  private final BlockingQueue<E> queue = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
  private final AtomicLong dropped = new AtomicLong();
  private long currentSecond;
  private int linesInCurrentSecond;

  public EventWriter(Logger log, Function<E, String> format) {
    this.log = log;
    this.format = format;
  }

  /** Starts the writer thread. */
  public void start() {
    Thread thread = new Thread(this::run, "event-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues the event; may be called from any thread and never blocks. */
  public void accept(E event) {
    if (!queue.offer(event)) {
      dropped.incrementAndGet();
    }
  }

  /** Writes all queued events; called before the process ends. */
  public synchronized void flush() {
    for (E event = queue.poll(); event != null; event = queue.poll()) {
      write(event);
    }
    logDroppedCount();
  }

  private void run() {
    try {
      while (true) {
        E first = queue.take();
        synchronized (this) {
          write(first);
        }
        flush();
        TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(E event) {
    if (isBelowLineRate()) {
      linesInCurrentSecond++;
      log.info("{}", format.apply(event));
    } else {
      dropped.incrementAndGet();
    }
  }

  private boolean isBelowLineRate() {
    long now = WallClock.micros() / MICROS_PER_SECOND;
    if (now != currentSecond) {
      currentSecond = now;
      linesInCurrentSecond = 0;
    }
    return linesInCurrentSecond < MAX_LINES_PER_SECOND;
  }

  private void logDroppedCount() {
    long droppedCount = isBelowLineRate() ? dropped.getAndSet(0) : 0;
    if (droppedCount > 0) {
      log.warn("event=events-dropped count={}", droppedCount);
    }
  }
}
