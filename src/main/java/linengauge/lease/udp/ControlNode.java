package linengauge.lease.udp;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseCodec;
import linengauge.lease.LeaseMessage;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.lease.Registrar;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;

/**
 * A control machine: the registrar over UDP on one thread, beside its part in the log on another
 * ({@link ConsensusNode}). Decisions, and the ends of proposals, hop from the log's thread to the
 * registrar's through bounded queues.
 */
public final class ControlNode implements AutoCloseable {
  /** More than the log lets wait at once. */
  private static final int MOST_ENDS = 1024;

  /**
   * @param number among all control machines
   * @param listen where it takes lease datagrams, as host:port in numbers
   * @param all as this machine reaches them
   * @param log its part in the log; the number and key are the same
   */
  public record Settings(
      LeaseSettings lease,
      int number,
      String listen,
      List<ControlMachine> all,
      ConsensusNode.Settings log) {}

  /** What its owner is told, to be over at once. */
  public interface Listener {
    /** On the registrar's thread: an entry of the directory has changed. */
    void changed(DirectoryEntry entry);

    /** On the log's thread: role, term, leader or voters of the log have changed. */
    void logViewChanged(ConsensusNode.View view);
  }

  private final Listener listener;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final MemberDirectory directory;
  private final Registrar registrar;
  private final ConsensusNode log;
  private final DecisionQueue decisions = new DecisionQueue(this::wake);
  private final ArrayBlockingQueue<Runnable> ends = new ArrayBlockingQueue<>(MOST_ENDS);
  private final AtomicBoolean woken = new AtomicBoolean();
  private final Served part = new Served();
  private long toldVersion;

  /** The registrar as the loop serves it. */
  private final class Served implements DatagramLoop.Part {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      registrar.start(now);
    }

    @Override
    public void heard(Moment now, String address, byte[] bytes, int length) {
      LeaseMessage message = LeaseCodec.read(bytes, length);
      catchUp(now);
      registrar.heard(now, address, message);
    }

    @Override
    public void step(Moment now) {
      woken.set(false);
      catchUp(now);
      registrar.step(now);
    }

    @Override
    public Moment next() {
      return registrar.next();
    }

    @Override
    public void end(Moment now) {
      decisions.close();
    }
  }

  /**
   * Binds at once and starts with {@link #start}.
   *
   * @param store of a voter; null: this control machine follows the log only
   * @throws IOException where it cannot listen
   */
  public ControlNode(Settings settings, ConsensusStore store, Listener listener)
      throws IOException {
    this.listener = listener;
    directory = new MemberDirectory(settings.lease());
    channel =
        new SealedChannel(
            LeaseDatagramFormat.FORM, settings.listen(), settings.number(), settings.log().key());
    BiConsumer<String, ConsensusNode.View> stands = (how, view) -> listener.logViewChanged(view);
    try {
      log =
          new ConsensusNode(
              settings.log(), store, new MemberDirectory(settings.lease()), decisions, stands);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    long seed = System.currentTimeMillis() ^ System.nanoTime() ^ settings.number();
    registrar =
        new Registrar(
            settings.lease(),
            settings.number(),
            settings.all(),
            directory,
            port(),
            new SplittableRandom(seed));
    loop = new DatagramLoop("registrar");
  }

  private Registrar.Port port() {
    return new Registrar.Port() {
      @Override
      public void send(String address, LeaseMessage message) {
        channel.send(address, LeaseCodec.write(message));
      }

      @Override
      public void propose(byte[] decision, Consumer<Boolean> ended) {
        if (!log.wants(decision, decided -> endsLater(ended, decided))) {
          endsLater(ended, false);
        }
      }
    };
  }

  /**
   * Never from within the registrar's own call. One that finds no room is given up on by the
   * registrar itself, in its time.
   */
  private void endsLater(Consumer<Boolean> ended, boolean decided) {
    ends.offer(() -> ended.accept(decided));
    wake();
  }

  /** Once, until the registrar has looked. */
  private void wake() {
    if (woken.compareAndSet(false, true) && !loop.wake(part)) {
      woken.set(false); // too much waits on the loop: the next datagram or timer has it looked at
    }
  }

  /**
   * The log's view is read before the decisions are taken: what it says to be known has been queued
   * by then.
   */
  private void catchUp(Moment now) {
    ConsensusNode.View view = log.view();
    if (decisions.drainTo(directory)) {
      tell();
      registrar.decided(now);
    }
    for (Runnable end = ends.poll(); end != null; end = ends.poll()) {
      end.run();
    }
    if (view != null) {
      registrar.control(now, view.leader(), view.age().plus(now.since(view.at())));
    }
  }

  private void tell() {
    directory.entries().stream()
        .filter(entry -> entry.version() > toldVersion)
        .sorted((a, b) -> Long.compare(a.version(), b.version()))
        .forEach(listener::changed);
    toldVersion = directory.version();
  }

  /** Begins. */
  public void start() {
    log.start();
    loop.add(part);
  }

  /** Has it told on the registrar's thread; false where too much waits there. */
  public boolean query(BiConsumer<MemberDirectory, Registrar> question) {
    return loop.execute(() -> question.accept(directory, registrar));
  }

  /** Its part in the log, as of its last turn; null before the first. */
  public ConsensusNode.View view() {
    return log.view();
  }

  /** What the log's connections carried so far. */
  public ConsensusNode.Traffic logTraffic() {
    return log.traffic();
  }

  /** What goes over its lease socket, and for trials what is lost there on purpose. */
  public SealedChannel channel() {
    return channel;
  }

  @Override
  public void close() {
    loop.close();
    decisions.close();
    log.close();
  }
}
