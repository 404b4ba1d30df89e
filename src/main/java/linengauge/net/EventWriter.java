package linengauge.net;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.slf4j.Logger;

/**
 * Writes events to a log on a thread of its own, so that whoever has them neither formats nor
 * writes. Bounded in what waits and in lines a second; what passes either bound is dropped and
 * counted, and the count is written.
 *
 * @param <E> the events, immutable
 */
public final class EventWriter<E> {
  private static final int MOST_WAITING = 4096;
  private static final int MOST_LINES_A_SECOND = 100;
  private static final long SECOND_MICROS = 1_000_000;

  /** Events are collected for so long, so that a busy front wakes the thread seldom. */
  private static final long COLLECT_MS = 50;

  private final Logger log;
  private final Function<E, String> format;
  private final BlockingQueue<E> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private long second;
  private int linesInSecond;

  public EventWriter(Logger log, Function<E, String> format) {
    this.log = log;
    this.format = format;
  }

  /** Begins to write. */
  public void start() {
    Thread thread = new Thread(this::run, "event-writer");
    thread.setDaemon(true);
    thread.start();
  }

  /** From any thread; never waits. */
  public void accept(E event) {
    if (!waiting.offer(event)) {
      dropped.incrementAndGet();
    }
  }

  /** Writes what waits, before the process ends. */
  public synchronized void flush() {
    for (E event = waiting.poll(); event != null; event = waiting.poll()) {
      write(event);
    }
    tellDropped();
  }

  private void run() {
    try {
      while (true) {
        E first = waiting.take();
        synchronized (this) {
          write(first);
        }
        flush();
        TimeUnit.MILLISECONDS.sleep(COLLECT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(E event) {
    if (mayWrite()) {
      linesInSecond++;
      log.info("{}", format.apply(event));
    } else {
      dropped.incrementAndGet();
    }
  }

  private boolean mayWrite() {
    long now = Wall.micros() / SECOND_MICROS;
    if (now != second) {
      second = now;
      linesInSecond = 0;
    }
    return linesInSecond < MOST_LINES_A_SECOND;
  }

  private void tellDropped() {
    long lost = mayWrite() ? dropped.getAndSet(0) : 0;
    if (lost > 0) {
      log.warn("event=events-dropped count={}", lost);
    }
  }
}
