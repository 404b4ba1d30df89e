package linengauge.scale.hollow;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import linengauge.consensus.LogFollower;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.udp.LeaseNode;
import linengauge.membership.Member;
import linengauge.membership.MemberState;
import linengauge.membership.MemberUpdate;
import linengauge.membership.udp.MembershipNode;
import linengauge.udp.DatagramLoop;
import linengauge.udp.SealedChannel;

/** One front's control parts: its membership, and where the plan says so, a follower of the log. */
final class HollowFront {
  /** Fronts that gossip begins with, spread over the fleet. */
  private static final int SEEDS = 6;

  private final HollowSpec spec;
  private final Member own;
  private final byte[] key;
  private final DatagramLoop loop;
  private final SealedChannel.Filter gate;
  private final Set<Integer> gone;
  private LeaseNode lease;
  private MembershipNode gossip;
  private ConsensusNode follower;
  private HollowSample.Traffic ofEarlierLives = HollowSample.Traffic.NONE;

  /**
   * @param gone where it tells whom it gave up; may be written by several threads
   */
  HollowFront(
      HollowSpec spec,
      int front,
      byte[] key,
      DatagramLoop loop,
      SealedChannel.Filter gate,
      Set<Integer> gone)
      throws IOException {
    this.spec = spec;
    this.own = spec.ports().member(spec.method(), front);
    this.key = key;
    this.loop = loop;
    this.gate = gate;
    this.gone = gone;
    open();
    boolean follows = spec.followersEach() > 0 && front % spec.followersEach() == 0;
    if (follows && spec.method() == HollowPlan.Method.LEASE) {
      follower = follower();
    }
  }

  private void open() throws IOException {
    if (spec.method() == HollowPlan.Method.LEASE) {
      lease = new LeaseNode(spec.lease(), own, spec.ports().machines(), key, listener(), loop);
    } else {
      gossip = new MembershipNode(spec.gossip(), own, seeds(), key, this::changed, loop);
    }
    channel().setFilter(gate);
  }

  private List<String> seeds() {
    int fronts = spec.fleet().fronts();
    return java.util.stream.IntStream.range(0, SEEDS)
        .mapToObj(i -> spec.ports().member(spec.method(), i * fronts / SEEDS).address())
        .distinct()
        .toList();
  }

  private LeaseNode.Listener listener() {
    return new LeaseNode.Listener() {
      @Override
      public void changed(DirectoryEntry entry) {
        if (entry.state() == DirectoryEntry.State.EXPIRED) {
          gone.add(entry.member().number());
        }
      }

      @Override
      public void superseded(long incarnation) {
        gone.add(own.number());
      }
    };
  }

  private void changed(MemberUpdate update) {
    if (update.state() == MemberState.DEAD) {
      gone.add(update.member().number());
    }
  }

  private ConsensusNode follower() throws IOException {
    ConsensusNode.Settings settings =
        new ConsensusNode.Settings(
            own.number(),
            null,
            new TreeMap<>(spec.logWays()),
            key,
            RaftSettings.USUAL,
            LogFollower.Terms.USUAL);
    return new ConsensusNode(settings, null, new NoState(), new NoState(), (how, view) -> {});
  }

  void start() {
    if (lease != null) {
      lease.start();
    } else {
      gossip.start();
    }
    if (follower != null) {
      follower.start();
    }
  }

  /** Ends this life without a word and begins another at the same address. */
  void restart() throws IOException {
    if (lease != null) {
      lease.stop();
    } else {
      gossip.stopWithoutLeaving();
    }
    ofEarlierLives = traffic();
    open();
    if (lease != null) {
      lease.start();
    } else {
      gossip.start();
    }
  }

  private SealedChannel channel() {
    return lease != null ? lease.channel() : gossip.channel();
  }

  HollowSample.Traffic traffic() {
    SealedChannel.Traffic now = channel().traffic();
    return ofEarlierLives.plus(
        new HollowSample.Traffic(now.sent(), now.sentBytes(), now.received(), now.receivedBytes()));
  }

  SealedChannel.Drops drops() {
    return channel().drops();
  }

  long logBytes() {
    if (follower == null) {
      return 0;
    }
    return follower.traffic().sentBytes() + follower.traffic().receivedBytes();
  }

  boolean follows() {
    return follower != null;
  }

  LeaseNode lease() {
    return lease;
  }

  MembershipNode gossip() {
    return gossip;
  }

  int number() {
    return own.number();
  }

  void close() {
    if (follower != null) {
      follower.close();
    }
  }

  /** What a hollow front makes of the log: nothing. */
  private static final class NoState implements StateMachine {
    @Override
    public void apply(long index, long author, byte[] decision) {
      // the cost of carrying it is what is measured
    }

    @Override
    public byte[] whole() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] whole) {
      // as above
    }
  }
}
