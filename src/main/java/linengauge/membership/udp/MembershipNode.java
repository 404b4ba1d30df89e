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
  private static final SealedChannel.DatagramFormat FORM =
      new SealedChannel.DatagramFormat(1, 2, 4, Datagram.MOST);

  /** What was dropped, by cause; another version is unreadable. */
  public record Drops(long strangers, long replayed, long unreadable) {}

  private final DatagramLoop ownLoop;
  private final DatagramLoop loop;
  private final SealedChannel channel;
  private final Membership members;
  private final Served part = new Served();
  private boolean clashed;
  private boolean stale;
  private volatile boolean silently;
  private volatile boolean started;
  private volatile List<MemberUpdate> held = List.of();

  /** The members as the loop serves them. */
  private final class Served implements DatagramLoop.Handler {
    @Override
    public SealedChannel channel() {
      return channel;
    }

    @Override
    public void start(Moment now) {
      members.start(now);
    }

    @Override
    public void onDatagram(Moment now, String address, byte[] bytes, int length) {
      members.heard(now, address, Datagram.read(bytes, length));
      if (stale) {
        publish();
      }
    }

    @Override
    public void step(Moment now) {
      members.step(now);
      publish();
    }

    @Override
    public Moment nextStepAt() {
      return members.next();
    }

    @Override
    public void end(Moment now) {
      if (!silently) {
        members.leave(now);
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
      MembershipSettings terms,
      Member own,
      List<String> seeds,
      byte[] key,
      Consumer<MemberUpdate> changed)
      throws IOException {
    this(terms, own, seeds, key, changed, null);
  }

  /**
   * The same on a loop that serves others as well.
   *
   * @param shared null: a thread of its own
   */
  public MembershipNode(
      MembershipSettings terms,
      Member own,
      List<String> seeds,
      byte[] key,
      Consumer<MemberUpdate> changed,
      DatagramLoop shared)
      throws IOException {
    channel = new SealedChannel(FORM, own.address(), own.number(), key);
    ownLoop = shared == null ? new DatagramLoop("members") : null;
    loop = shared == null ? ownLoop : shared;
    long clock = System.currentTimeMillis();
    members =
        new Membership(
            terms,
            own,
            clock,
            seeds,
            port(own, changed),
            new SplittableRandom(clock ^ own.number()));
  }

  private Membership.Port port(Member own, Consumer<MemberUpdate> changed) {
    return new Membership.Port() {
      @Override
      public void send(String address, Datagram words) {
        channel.send(address, words.bytes());
      }

      @Override
      public void changed(MemberUpdate news) {
        stale = true;
        changed.accept(news);
      }

      @Override
      public void clash(String address) {
        if (!clashed) {
          clashed = true;
          LOG.error(
              "members: another front goes by this one's number {} at {}", own.number(), address);
        }
      }
    };
  }

  public void start() {
    started = loop.add(part);
  }

  /** All that is held of the others, as of the last turn. */
  public List<MemberUpdate> held() {
    return held;
  }

  public Drops drops() {
    SealedChannel.Drops all = channel.drops();
    return new Drops(all.strangers(), all.replayed(), all.unreadable() + all.otherVersions());
  }

  /** What goes over its socket, and for trials what is lost there on purpose. */
  public SealedChannel channel() {
    return channel;
  }

  /** Tells some that it leaves, and ends; does not wait for it. */
  public void leave() {
    loop.remove(part);
  }

  /** Ends without a word, as a front that is killed; waited for, a second at most. */
  public void stop() {
    silently = true;
    close();
  }

  /** {@link #leave}, waited for, a second at most. */
  @Override
  public void close() {
    try {
      if (started && !loop.removeAndWait(part)) {
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

  private void publish() {
    held = members.held();
    stale = false;
  }
}
