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
 * A control machine: runs the registrar over UDP on one thread and its share of the replicated log
 * ({@link ConsensusNode}) on another. Decisions and the outcomes of proposals are passed from the
 * log's thread to the registrar's through bounded queues.
 */
public final class ControlNode implements AutoCloseable {
  /** Exceeds the number of proposals that the log allows to be pending at once. */
  private static final int MAX_PENDING_OUTCOMES = 1024;

  /**
   * @param number unique among all control machines
   * @param listen address for lease datagrams, as host:port with a numeric host
   * @param all the control machines, with the addresses at which this one reaches them
   * @param log settings of its log node, with the same number and key
   */
  public record Settings(
      LeaseSettings lease,
      int number,
      String listen,
      List<ControlMachine> all,
      ConsensusNode.Settings log) {}

  /** Notifications to the owner; implementations must return at once. */
  public interface Listener {
    /** An entry of the directory has changed; called on the registrar's thread. */
    void changed(DirectoryEntry entry);

    /** Role, term, leader or voters of the log have changed; called on the log's thread. */
    void logViewChanged(ConsensusNode.View view);
  }

  private final Listener listener;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final MemberDirectory directory;
  private final Registrar registrar;
  private final ConsensusNode log;
  private final DecisionQueue decisions = new DecisionQueue(this::wake);
  private final ArrayBlockingQueue<Runnable> proposalOutcomes =
      new ArrayBlockingQueue<>(MAX_PENDING_OUTCOMES);
  private final AtomicBoolean wakePending = new AtomicBoolean();
  private final RegistrarPart loopPart = new RegistrarPart();
  private long notifiedVersion;

  /** Adapts the registrar to the datagram loop. */
  private final class RegistrarPart implements DatagramLoop.Handler {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      registrar.start(now);
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
      LeaseMessage message = LeaseCodec.read(bytes, length);
      catchUp(now);
      registrar.heard(now, address, message);
    }

    @Override
    public void step(Moment now) {
      wakePending.set(false);
      catchUp(now);
      registrar.step(now);
    }

    @Override
    public Moment nextStepAt() {
      return registrar.next();
    }

    @Override
    public void end(Moment now) {
      decisions.close();
    }
  }

  /**
   * Binds the sockets; {@link #start} begins the work.
   *
   * @param store a voter's persistent state; null if this machine only follows the log
   * @throws IOException if an address cannot be bound
   */
  public ControlNode(Settings settings, ConsensusStore store, Listener listener)
      throws IOException {
    this.listener = listener;
    directory = new MemberDirectory(settings.lease());
    channel =
        new SealedChannel(
            LeaseDatagramFormat.FORM, settings.listen(), settings.number(), settings.log().key());
    BiConsumer<String, ConsensusNode.View> viewListener =
        (reason, view) -> listener.logViewChanged(view);
    try {
      log =
          new ConsensusNode(
              settings.log(),
              store,
              new MemberDirectory(settings.lease()),
              decisions,
              viewListener);
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
      public void propose(byte[] decision, Consumer<Boolean> onOutcome) {
        if (!log.wants(decision, decided -> queueOutcome(onOutcome, decided))) {
          queueOutcome(onOutcome, false);
        }
      }
    };
  }

  /**
   * Queues the outcome, so that the registrar is never called back from within its own call. An
   * outcome that finds the queue full is dropped: the registrar's own time limit ends the proposal.
   */
  private void queueOutcome(Consumer<Boolean> onOutcome, boolean decided) {
    proposalOutcomes.offer(() -> onOutcome.accept(decided));
    wake();
  }

  /** Wakes the registrar's thread, once until it has processed the queues. */
  private void wake() {
    if (wakePending.compareAndSet(false, true) && !loop.requestStep(loopPart)) {
      wakePending.set(
          false); // the loop's queue is full: the next datagram or timer processes the queues
    }
  }

  /**
   * Reads the log's view before taking the decisions: whatever the view reports as known has then
   * been queued already.
   */
  private void catchUp(Moment now) {
    ConsensusNode.View view = log.view();
    if (decisions.drainTo(directory)) {
      notifyChanges();
      registrar.decided(now);
    }
    for (Runnable outcome = proposalOutcomes.poll();
        outcome != null;
        outcome = proposalOutcomes.poll()) {
      outcome.run();
    }
    if (view != null) {
      registrar.control(now, view.leader(), view.age().plus(now.since(view.at())));
    }
  }

  private void notifyChanges() {
    directory.entries().stream()
        .filter(entry -> entry.version() > notifiedVersion)
        .sorted((a, b) -> Long.compare(a.version(), b.version()))
        .forEach(listener::changed);
    notifiedVersion = directory.version();
  }

  /** Starts the log and the registrar. */
  public void start() {
    log.start();
    loop.add(loopPart);
  }

  /** Runs the query on the registrar's thread; returns false if that thread's queue is full. */
  public boolean query(BiConsumer<MemberDirectory, Registrar> query) {
    return loop.execute(() -> query.accept(directory, registrar));
  }

  /** The log node's view as of its last step; null before the first. */
  public ConsensusNode.View view() {
    return log.view();
  }

  /** Traffic on the log's connections so far. */
  public ConsensusNode.Traffic logTraffic() {
    return log.traffic();
  }

  /** The channel on the lease socket, with its counters and, for tests, its injected loss. */
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
