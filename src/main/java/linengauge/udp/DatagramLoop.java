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
 * One thread that serves the sockets and timers of many parts: between two looks at the timers it
 * reads a bounded number of datagrams of each. A part that fails is ended alone.
 */
public final class DatagramLoop implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DatagramLoop.class);
  private static final int AT_ONCE = 64;
  private static final int MOST_TASKS = 8192;
  private static final long LONGEST_WAIT_MS = 1000;
  private static final long LONGEST_CLOSE_MS = 1000;

  /** What the loop serves; all its methods are called on the loop's thread. */
  public interface Handler {
    SealedChannel channel();

    void start(Moment now);

    /** One datagram, proved to be of the fleet; IllegalArgumentException where it has no sense. */
    void onDatagram(Moment now, String address, byte[] bytes, int length);

    void step(Moment now);

    /** When it wants to be stepped, at the latest. */
    Moment nextStepAt();

    /** Its last act. */
    void end(Moment now);
  }

  private static final class Timer implements Comparable<Timer> {
    private final Handler part;
    private final long order;
    private Moment due;
    private SelectionKey key;

    private Timer(Handler part, long order) {
      this.part = part;
      this.order = order;
    }

    @Override
    public int compareTo(Timer other) {
      int byDue = due.compareTo(other.due);
      return byDue != 0 ? byDue : Long.compare(order, other.order);
    }
  }

  private final Selector selector = Selector.open();
  private final Thread thread;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ArrayBlockingQueue<Runnable> tasks = new ArrayBlockingQueue<>(MOST_TASKS);
  private final TreeSet<Timer> timers = new TreeSet<>();
  private final Map<Handler, Timer> parts = new HashMap<>();
  private long added;
  private volatile boolean closing;

  /**
   * Starts at once.
   *
   * @throws IOException where the system has no selector left
   */
  public DatagramLoop(String name) throws IOException {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** The time that all parts are told. */
  public static Moment now() {
    return new Moment(System.nanoTime() / 1000);
  }

  /** Serves it from now on; false where too much waits. */
  public boolean add(Handler part) {
    return execute(() -> addNow(part));
  }

  /** Ends it and closes its socket; false where too much waits. */
  public boolean remove(Handler part) {
    return execute(() -> removeNow(part));
  }

  /** {@link #remove}, waited for, a second at most; false where it is still at work. */
  public boolean removeAndWait(Handler part) {
    CountDownLatch removed = new CountDownLatch(1);
    boolean taken =
        execute(
            () -> {
              removeNow(part);
              removed.countDown();
            });
    try {
      return taken && removed.await(LONGEST_CLOSE_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Steps it soon: something waits for it that is neither a datagram nor a timer. */
  public boolean requestStep(Handler part) {
    return execute(() -> act(part, () -> part.step(now())));
  }

  /** Runs it on the loop's thread; false where too much waits, or the loop has ended. */
  public boolean execute(Runnable task) {
    boolean taken = !closing && tasks.offer(task);
    selector.wakeup();
    return taken;
  }

  /** Ends all parts; waited for, a second at most. */
  @Override
  public void close() {
    closing = true;
    selector.wakeup();
    try {
      if (!ended.await(LONGEST_CLOSE_MS, TimeUnit.MILLISECONDS)) {
        LOG.warn("{}: still at work", thread.getName());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!closing) {
        turn();
      }
    } catch (IOException | RuntimeException e) {
      LOG.error("{} has failed: this process goes on without it", thread.getName(), e);
    } finally {
      runTasks();
      List.copyOf(parts.keySet()).forEach(this::removeNow);
      try {
        selector.close();
      } catch (IOException e) {
        LOG.warn("{}", thread.getName(), e);
      }
      ended.countDown();
    }
  }

  private void turn() throws IOException {
    long wait = timers.isEmpty() ? LONGEST_WAIT_MS : untilDue(timers.first());
    if (wait > 0) {
      selector.select(wait);
    } else {
      selector.selectNow();
    }
    List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
    selector.selectedKeys().clear();
    for (SelectionKey key : ready) {
      Handler part = ((Timer) key.attachment()).part;
      act(part, () -> read(part));
    }
    runTasks();
    stepThoseDue();
  }

  private static long untilDue(Timer timer) {
    return Math.min(LONGEST_WAIT_MS, (timer.due.since(now()).micros() + 999) / 1000);
  }

  private void read(Handler part) {
    part.channel()
        .read(AT_ONCE, (address, bytes, length) -> part.onDatagram(now(), address, bytes, length));
  }

  private void runTasks() {
    for (int i = tasks.size(); i > 0; i--) {
      Runnable task = tasks.poll();
      if (task != null) {
        task.run();
      }
    }
  }

  private void stepThoseDue() {
    for (int i = timers.size(); i > 0 && !timers.isEmpty(); i--) {
      Moment now = now();
      Timer first = timers.first();
      if (now.before(first.due)) {
        return;
      }
      act(first.part, () -> first.part.step(now));
    }
  }

  /** Does something with a part, and looks at its timer anew. */
  private void act(Handler part, Runnable deed) {
    Timer timer = parts.get(part);
    if (timer == null) {
      return;
    }
    timers.remove(timer);
    try {
      deed.run();
      timer.due = part.nextStepAt();
      timers.add(timer);
    } catch (RuntimeException e) {
      LOG.error("{}: one part has failed, and ends alone", thread.getName(), e);
      drop(part);
    }
  }

  private void addNow(Handler part) {
    Timer timer = new Timer(part, added++);
    try {
      timer.key = part.channel().register(selector, timer);
      timer.due = now();
      parts.put(part, timer);
      timers.add(timer);
      act(part, () -> part.start(now()));
    } catch (IOException e) {
      LOG.error("{}: a socket cannot be served", thread.getName(), e);
    }
  }

  private void removeNow(Handler part) {
    act(part, () -> part.end(now()));
    drop(part);
  }

  private void drop(Handler part) {
    Timer timer = parts.remove(part);
    if (timer != null) {
      timers.remove(timer);
      timer.key.cancel();
    }
    try {
      part.channel().close();
      selector.selectNow(); // only now does the system have the port back
    } catch (IOException e) {
      LOG.warn("{}", thread.getName(), e);
    }
  }
}
