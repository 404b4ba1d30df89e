package linengauge.membership.udp;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.membership.Datagram;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.Membership;
import linengauge.membership.MembershipSettings;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One front's members over UDP, on a thread of their own or on a loop that it shares with others.
 * Datagrams go through a {@link SealedChannel}.
 */
public final class MembershipNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipNode.class);

  /** Version 1, and where a datagram says who sends it. */
  private static final SealedChannel.Form HEADER_FORMAT =
      new SealedChannel.Form(1, 2, 4, Datagram.MAX_BYTES);

  /** What was dropped, by cause; another version is unreadable. */
  public record Drops(long strangers, long replayed, long unreadable) {}

  private final DatagramLoop ownLoop;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final Membership membership;
  private final LoopPart loopPart = new LoopPart();
  private boolean conflictLogged;
  private boolean snapshotStale;
  private volatile boolean stopsWithoutLeaving;
  private volatile boolean started;
  private volatile List<MemberUpdate> memberSnapshot = List.of();

  /** The members as the loop serves them. */
  private final class LoopPart implements DatagramLoop.Part {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      membership.start(now);
    }

    @Override
    public void heard(Moment now, String address, byte[] bytes, int length) {
      membership.onDatagram(now, address, Datagram.decode(bytes, length));
      if (snapshotStale) {
        updateSnapshot();
      }
    }

    @Override
    public void step(Moment now) {
      membership.step(now);
      updateSnapshot();
    }

    @Override
    public Moment next() {
      return membership.nextStep();
    }

    @Override
    public void end(Moment now) {
      if (!stopsWithoutLeaving) {
        membership.leave(now);
      }
    }
  }

  /**
   * Binds at once and starts with {@link #start}, on a thread of its own.
   *
   * @param own its address is where it listens and where the others reach it, as host:port with the
   *     host in numbers
   * @param key the fleet's, of 16 bytes at least
   * @param changed told on the node's thread of each change, to be over at once
   * @throws IOException where it cannot listen there
   */
  public MembershipNode(
      MembershipSettings settings,
      Member own,
      List<String> seeds,
      byte[] key,
      Consumer<MemberUpdate> listener)
      throws IOException {
    this(settings, own, seeds, key, listener, null);
  }

  /**
   * The same on a loop that serves others as well.
   *
   * @param shared null: a thread of its own
   */
  public MembershipNode(
      MembershipSettings settings,
      Member own,
      List<String> seeds,
      byte[] key,
      Consumer<MemberUpdate> listener,
      DatagramLoop sharedLoop)
      throws IOException {
    channel = new SealedChannel(HEADER_FORMAT, own.address(), own.number(), key);
    ownLoop = sharedLoop == null ? new DatagramLoop("members") : null;
    loop = sharedLoop == null ? ownLoop : sharedLoop;
    long wallClockMillis = System.currentTimeMillis();
    membership =
        new Membership(
            settings,
            own,
            wallClockMillis,
            seeds,
            port(own, listener),
            new SplittableRandom(wallClockMillis ^ own.number()));
  }

  private Membership.Port port(Member own, Consumer<MemberUpdate> listener) {
    return new Membership.Port() {
      @Override
      public void send(String address, Datagram datagram) {
        channel.send(address, datagram.encode());
      }

      @Override
      public void stateChanged(MemberUpdate update) {
        snapshotStale = true;
        listener.accept(update);
      }

      @Override
      public void numberConflict(String address) {
        if (!conflictLogged) {
          conflictLogged = true;
          LOG.error(
              "members: another front goes by this one's number {} at {}", own.number(), address);
        }
      }
    };
  }

  public void start() {
    started = loop.add(loopPart);
  }

  /** All that is held of the others, as of the last turn. */
  public List<MemberUpdate> members() {
    return memberSnapshot;
  }

  public Drops drops() {
    SealedChannel.Drops channelDrops = channel.drops();
    return new Drops(
        channelDrops.strangers(),
        channelDrops.replayed(),
        channelDrops.unreadable() + channelDrops.otherVersions());
  }

  /** What goes over its socket, and for trials what is lost there on purpose. */
  public SealedChannel channel() {
    return channel;
  }

  /** Tells some that it leaves, and ends; does not wait for it. */
  public void leave() {
    loop.remove(loopPart);
  }

  /** Ends without a word, as a front that is killed; waited for, a second at most. */
  public void stopWithoutLeaving() {
    stopsWithoutLeaving = true;
    close();
  }

  /** {@link #leave}, waited for, a second at most. */
  @Override
  public void close() {
    try {
      if (started && !loop.removeAndWait(loopPart)) {
        LOG.warn("members: still at work");
      }
      if (ownLoop != null) {
        ownLoop.close();
      }
      channel.close();
    } catch (IOException e) {
      LOG.warn("members", e);
    }
  }

  private void updateSnapshot() {
    memberSnapshot = membership.members();
    snapshotStale = false;
  }
}
