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
 * A front's membership by lease over UDP, on a thread of its own or on a loop that it shares with
 * others. What it knows is asked on that thread ({@link #query}), so that an answer is never older
 * than the question: a lease that was read before a pause says nothing after it.
 */
public final class LeaseNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseNode.class);
  private static final long LONGEST_LEAVE_MS = 1000;
  private static final long LOOK_MS = 10;

  /** What its owner is told, on the node's thread, to be over at once. */
  public interface Listener {
    void changed(DirectoryEntry entry);

    /** This life is over, and another begins. */
    void superseded(long incarnation);
  }

  private final Member own;
  private final DatagramLoop ownLoop;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final LeaseAgent agent;
  private final Served part = new Served();
  private volatile boolean silent;

  /** The agent as the loop serves it. */
  private final class Served implements DatagramLoop.Part {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      agent.start(now);
    }

    @Override
    public void heard(Moment now, String address, byte[] bytes, int length) {
      agent.heard(now, address, LeaseCodec.read(bytes, length));
    }

    @Override
    public void step(Moment now) {
      agent.step(now);
    }

    @Override
    public Moment next() {
      silent = agent.isSilent();
      return agent.next();
    }

    @Override
    public void end(Moment now) {
      silent = true;
    }
  }

  /**
   * Binds at once and starts with {@link #start}.
   *
   * @param own its address is where it listens, as host:port with the host in numbers
   * @param key the fleet's, of 16 bytes at least
   * @param shared null: a thread of its own
   * @throws IOException where it cannot listen there
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
    long clock = System.currentTimeMillis();
    agent =
        new LeaseAgent(
            settings, own, clock, all, port(listener), new SplittableRandom(clock ^ own.number()));
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
        LOG.info("lease: front {} begins life {}", own.number(), agent.incarnation());
        listener.superseded(agent.incarnation());
      }
    };
  }

  /** Begins; false where too much waits on the loop. */
  public boolean start() {
    return loop.add(part);
  }

  /** Has it told on the node's thread; false where too much waits there. */
  public boolean query(Consumer<LeaseAgent> question) {
    return loop.execute(() -> question.accept(agent));
  }

  /** What goes over its socket, and for trials what is lost there on purpose. */
  public SealedChannel channel() {
    return channel;
  }

  /** Says that it leaves; goes on until that is known, or was said often enough. */
  public void leave() {
    loop.execute(() -> agent.leave(DatagramLoop.now()));
    loop.wake(part);
  }

  /** It left, was ended, or another process has its number. */
  public boolean isSilent() {
    return silent;
  }

  /** Ends without a word, as a front that is killed; waited for, a second at most. */
  public void stop() {
    loop.removeAndWait(part);
    closeOwnLoop();
  }

  /** {@link #leave}, waited for, a second at most; then the socket is closed. */
  @Override
  public void close() {
    leave();
    try {
      for (long waited = 0; waited < LONGEST_LEAVE_MS && !silent; waited += LOOK_MS) {
        Thread.sleep(LOOK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loop.removeAndWait(part);
    closeOwnLoop();
  }

  private void closeOwnLoop() {
    if (ownLoop != null) {
      ownLoop.close();
    }
  }
}
