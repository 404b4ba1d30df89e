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
 * Runs the membership of one front over UDP, on a thread of its own or on a shared loop. Datagrams
 * go through a {@link SealedChannel}.
 */
public final class MembershipNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipNode.class);

  /** Protocol version 1, and the position of the sender's number in a datagram. */
  private static final SealedChannel.DatagramFormat HEADER_FORMAT =
      new SealedChannel.DatagramFormat(1, 2, 4, Datagram.MAX_BYTES);

  /** Dropped datagrams by cause. Those of another protocol version count as unreadable. */
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

  /** Adapter that the loop calls. */
  private final class LoopPart implements DatagramLoop.Handler {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      membership.start(now);
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
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
    public Moment nextStepAt() {
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
   * Binds the socket on a loop with a thread of its own. The protocol starts with {@link #start}.
   *
   * @param own its address is where this node listens and where others reach it, as host:port with
   *     a numeric host
   * @param key key of the fleet, at least 16 bytes
   * @param listener called on the node's thread for each change; must return quickly
   * @throws IOException if the socket cannot be bound
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
   * Binds the socket on a shared loop.
   *
   * @param sharedLoop loop to run on, or null for a thread of its own
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
              "members: another front uses this front's number {} at {}", own.number(), address);
        }
      }
    };
  }

  public void start() {
    started = loop.add(loopPart);
  }

  /** Returns the current update of every other member as of the last iteration of the loop. */
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

  /** Returns the channel, with its traffic and, for tests, its injected loss. */
  public SealedChannel channel() {
    return channel;
  }

  /** Announces to some members that this one leaves, and stops. Does not wait. */
  public void leave() {
    loop.remove(loopPart);
  }

  /** Stops without announcing it, as a killed front does. Waits for at most one second. */
  public void stopWithoutLeaving() {
    stopsWithoutLeaving = true;
    close();
  }

  /** Leaves as {@link #leave} does, and waits for it for at most one second. */
  @Override
  public void close() {
    try {
      if (started && !loop.removeAndWait(loopPart)) {
        LOG.warn("members: loop did not stop in time");
      }
      if (ownLoop != null) {
        ownLoop.close();
      }
      channel.close();
    } catch (IOException e) {
      LOG.warn("members: closing the socket failed", e);
    }
  }

  private void updateSnapshot() {
    memberSnapshot = membership.members();
    snapshotStale = false;
  }
}
