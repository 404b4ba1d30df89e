package linengauge.udp;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linengauge.Moment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single thread that serves the sockets and timers of many handlers. Between two checks of the
 * timers it reads a bounded number of datagrams per handler. A handler that throws is removed; the
 * others go on.
 */
public final class DatagramLoop implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramLoop.class);
  private static final int MAX_DATAGRAMS_PER_READ = 64;
  private static final int MAX_QUEUED_TASKS = 8192;
  private static final long MAX_SELECT_MS = 1000;
  private static final long MAX_CLOSE_WAIT_MS = 1000;

  /** Owner of one socket and one timer; the loop calls all methods on its own thread. */
  public interface Handler {
    SealedChannel channel();

    void start(Moment now);

    /**
     * Handles one authenticated datagram.
     *
     * @throws IllegalArgumentException if the datagram is malformed
     */
    void onDatagram(Moment now, String address, byte[] bytes, int length);

    void step(Moment now);

    /** The latest time at which the next call of {@link #step} is due. */
    Moment nextStepAt();

    /** Called once, as the last call, before the socket is closed. */
    void end(Moment now);
  }

  private static final class Registration implements Comparable<Registration> {
    private final Handler handler;
    private final long order;
    private Moment due;
    private SelectionKey key;

    private Registration(Handler handler, long order) {
      this.handler = handler;
      this.order = order;
    }

    @Override
    public int compareTo(Registration other) {
      int byDue = due.compareTo(other.due);
      return byDue != 0 ? byDue : Long.compare(order, other.order);
    }
  }

  private final Selector selector = Selector.open();
  private final Thread thread;
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final ArrayBlockingQueue<Runnable> tasks = new ArrayBlockingQueue<>(MAX_QUEUED_TASKS);
  private final TreeSet<Registration> timers = new TreeSet<>();
  private final Map<Handler, Registration> registrations = new HashMap<>();
  private long registrationCount;
  private volatile boolean closing;

  /**
   * Creates the loop and starts its thread.
   *
   * @throws IOException if the system cannot open a selector
   */
  public DatagramLoop(String name) throws IOException {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** The current time, as passed to all handlers. */
  public static Moment now() {
    return new Moment(System.nanoTime() / 1000);
  }

  /** Registers a handler; returns false if the task queue is full. */
  public boolean add(Handler handler) {
    return execute(() -> addNow(handler));
  }

  /** Ends a handler and closes its socket; returns false if the task queue is full. */
  public boolean remove(Handler handler) {
    return execute(() -> removeNow(handler));
  }

  /**
   * Like {@link #remove}, but waits until the handler is removed, one second at most; returns false
   * if it has not been removed by then.
   */
  public boolean removeAndWait(Handler handler) {
    CountDownLatch removed = new CountDownLatch(1);
    boolean accepted =
        execute(
            () -> {
              removeNow(handler);
              removed.countDown();
            });
    try {
      return accepted && removed.await(MAX_CLOSE_WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Requests an early step, for work that comes neither from a datagram nor from the timer. */
  public boolean requestStep(Handler handler) {
    return execute(() -> runIsolated(handler, () -> handler.step(now())));
  }

  /**
   * Runs a task on the loop's thread; returns false if the queue is full or the loop is closing.
   */
  public boolean execute(Runnable task) {
    boolean accepted = !closing && tasks.offer(task);
    selector.wakeup();
    return accepted;
  }

  /** Ends all handlers and waits for the thread to finish, one second at most. */
  @Override
  public void close() {
    closing = true;
    selector.wakeup();
    try {
      if (!terminated.await(MAX_CLOSE_WAIT_MS, TimeUnit.MILLISECONDS)) {
        LOG.warn("{}: did not stop within the time limit", thread.getName());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closing) {
        runOnce();
      }
    } catch (IOException | RuntimeException e) {
      LOG.error("{} failed and has stopped; the process continues without it", thread.getName(), e);
    } finally {
      runTasks();
      List.copyOf(registrations.keySet()).forEach(this::removeNow);
      try {
        selector.close();
      } catch (IOException e) {
        LOG.warn("{}", thread.getName(), e);
      }
      terminated.countDown();
    }
  }

  private void runOnce() throws IOException {
    long waitMs = timers.isEmpty() ? MAX_SELECT_MS : millisUntilDue(timers.first());
    if (waitMs > 0) {
      selector.select(waitMs);
    } else {
      selector.selectNow();
    }
    List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
    selector.selectedKeys().clear();
    for (SelectionKey key : ready) {
      Handler handler = ((Registration) key.attachment()).handler;
      runIsolated(handler, () -> read(handler));
    }
    runTasks();
    stepDueHandlers();
  }

  private static long millisUntilDue(Registration registration) {
    return Math.min(MAX_SELECT_MS, (registration.due.since(now()).micros() + 999) / 1000);
  }

  private void read(Handler handler) {
    handler
        .channel()
        .read(
            MAX_DATAGRAMS_PER_READ,
            (address, bytes, length) -> handler.onDatagram(now(), address, bytes, length));
  }

  private void runTasks() {
    for (int i = tasks.size(); i > 0; i--) {
      Runnable task = tasks.poll();
      if (task != null) {
        task.run();
      }
    }
  }

  private void stepDueHandlers() {
    for (int i = timers.size(); i > 0 && !timers.isEmpty(); i--) {
      Moment now = now();
      Registration first = timers.first();
      if (now.isBefore(first.due)) {
        return;
      }
      runIsolated(first.handler, () -> first.handler.step(now));
    }
  }

  /**
   * Runs an action of a handler and reschedules its timer. An exception removes this handler only.
   */
  private void runIsolated(Handler handler, Runnable action) {
    Registration registration = registrations.get(handler);
    if (registration == null) {
      return;
    }
    timers.remove(registration);
    try {
      action.run();
      registration.due = handler.nextStepAt();
      timers.add(registration);
    } catch (RuntimeException e) {
      LOG.error("{}: a handler failed and is removed", thread.getName(), e);
      unregister(handler);
    }
  }

  private void addNow(Handler handler) {
    Registration registration = new Registration(handler, registrationCount++);
    try {
      registration.key = handler.channel().register(selector, registration);
      registration.due = now();
      registrations.put(handler, registration);
      timers.add(registration);
      runIsolated(handler, () -> handler.start(now()));
    } catch (IOException e) {
      LOG.error("{}: cannot register a socket", thread.getName(), e);
    }
  }

  private void removeNow(Handler handler) {
    runIsolated(handler, () -> handler.end(now()));
    unregister(handler);
  }

  private void unregister(Handler handler) {
    Registration registration = registrations.remove(handler);
    if (registration != null) {
      timers.remove(registration);
      registration.key.cancel();
    }
    try {
      handler.channel().close();
      selector.selectNow(); // the system releases the port only when the cancelled key is processed
    } catch (IOException e) {
      LOG.warn("{}", thread.getName(), e);
    }
  }
}
