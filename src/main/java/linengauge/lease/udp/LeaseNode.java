package linengauge.lease.udp;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.lease.ControlMachine;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseAgent;
import linengauge.lease.LeaseCodec;
import linengauge.lease.LeaseMessage;
import linengauge.lease.LeaseSettings;
import linengauge.membership.Member;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A front's membership by lease over UDP, on its own thread or on a loop shared with others. State
 * is read on that thread ({@link #query}), so that an answer is never older than the query: a lease
 * read before a process pause proves nothing after it.
 */
public final class LeaseNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseNode.class);
  private static final long MAX_LEAVE_MS = 1000;
  private static final long POLL_INTERVAL_MS = 10;

  /** Notifications to the owner on the node's thread; implementations must return at once. */
  public interface Listener {
    void changed(DirectoryEntry entry);

    /** The previous incarnation has ended and the given one begins. */
    void superseded(long incarnation);
  }

  private final Member own;
  private final DatagramLoop ownLoop;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final LeaseAgent agent;
  private final AgentPart loopPart = new AgentPart();
  private volatile boolean silent;

  /** Adapts the agent to the datagram loop. */
  private final class AgentPart implements DatagramLoop.Handler {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      agent.start(now);
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
      agent.heard(now, address, LeaseCodec.read(bytes, length));
    }

    @Override
    public void step(Moment now) {
      agent.step(now);
    }

    @Override
    public Moment nextStepAt() {
      silent = agent.isSilent();
      return agent.next();
    }

    @Override
    public void end(Moment now) {
      silent = true;
    }
  }

  /**
   * Binds the socket; {@link #start} begins the work.
   *
   * @param own this front; it listens at the member's address, host:port with a numeric host
   * @param key the fleet's key, of at least 16 bytes
   * @param shared the loop to run on; null for a thread of its own
   * @throws IOException if the address cannot be bound
   */
  public LeaseNode(
      LeaseSettings settings,
      Member own,
      List<ControlMachine> all,
      byte[] key,
      Listener listener,
      DatagramLoop shared)
      throws IOException {
    this.own = own;
    channel = new SealedChannel(LeaseDatagramFormat.FORM, own.address(), own.number(), key);
    ownLoop = shared == null ? new DatagramLoop("lease") : null;
    loop = shared == null ? ownLoop : shared;
    long startMillis = System.currentTimeMillis();
    agent =
        new LeaseAgent(
            settings,
            own,
            startMillis,
            all,
            port(listener),
            new SplittableRandom(startMillis ^ own.number()));
  }

  private LeaseAgent.Port port(Listener listener) {
    return new LeaseAgent.Port() {
      @Override
      public void send(String address, LeaseMessage message) {
        channel.send(address, LeaseCodec.write(message));
      }

      @Override
      public void changed(DirectoryEntry entry) {
        listener.changed(entry);
      }

      @Override
      public void superseded(Moment now) {
        LOG.info("lease: front {} begins incarnation {}", own.number(), agent.incarnation());
        listener.superseded(agent.incarnation());
      }
    };
  }

  /** Starts the agent; returns false if the loop's queue is full. */
  public boolean start() {
    return loop.add(loopPart);
  }

  /** Runs the query on the node's thread; returns false if that thread's queue is full. */
  public boolean query(Consumer<LeaseAgent> query) {
    return loop.execute(() -> query.accept(agent));
  }

  /** The channel on the socket, with its counters and, for tests, its injected loss. */
  public SealedChannel channel() {
    return channel;
  }

  /** Announces that the front leaves, until acknowledged or repeated often enough. */
  public void leave() {
    loop.execute(() -> agent.leave(DatagramLoop.now()));
    loop.requestStep(loopPart);
  }

  /** Whether it has left, was stopped, or another process has its number. */
  public boolean isSilent() {
    return silent;
  }

  /** Stops without an announcement, as a killed front does; waits at most one second. */
  public void stop() {
    loop.removeAndWait(loopPart);
    closeOwnLoop();
  }

  /** Leaves ({@link #leave}), waits for that at most one second, then closes the socket. */
  @Override
  public void close() {
    leave();
    try {
      for (long waited = 0; waited < MAX_LEAVE_MS && !silent; waited += POLL_INTERVAL_MS) {
        Thread.sleep(POLL_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loop.removeAndWait(loopPart);
    closeOwnLoop();
  }

  private void closeOwnLoop() {
    if (ownLoop != null) {
      ownLoop.close();
    }
  }
}
