package linengauge.membership.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.carry.Address;
import linengauge.membership.Datagram;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.Membership;
import linengauge.membership.MembershipSettings;
import linengauge.vrrp.BadPacket;
import linengauge.vrrp.Drop;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.Seal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One front's members over UDP, on a thread of their own. A datagram ends with the keyed trailer of
 * {@link Seal}, by the sender's number; whatever has no key, an old number or no sense is dropped
 * and counted. Between two looks at the timers it reads a bounded number of datagrams.
 */
public final class MembershipNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipNode.class);
  private static final int AT_ONCE = 64;
  private static final int NUMBER_BYTES = 4;

  /** Where a datagram says who sends it. */
  private static final int FROM = 2;

  private static final long LONGEST_WAIT_MS = 1000;

  /** What was dropped, by cause. */
  public record Drops(long strangers, long replayed, long unreadable) {}

  private final Member own;
  private final Seal seal;
  private final Membership members;
  private final Selector selector;
  private final DatagramChannel channel;
  private final Thread thread = new Thread(this::run, "members");
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ByteBuffer in = ByteBuffer.allocate(Datagram.MOST + Seal.BYTES + 1);
  private long strangers;
  private long replayed;
  private long unreadable;
  private boolean clashed;
  private volatile boolean closing;
  private volatile Drops drops = new Drops(0, 0, 0);
  private volatile List<MemberUpdate> held = List.of();

  /**
   * Binds at once and starts with {@link #start}.
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
    if (key.length < 16) {
      throw new IllegalArgumentException("a key of 16 bytes at least, not " + key.length);
    }
    this.own = own;
    long clock = System.currentTimeMillis();
    this.seal = new Seal(key, clock * 1000);
    this.members =
        new Membership(
            terms,
            own,
            clock,
            seeds,
            new Membership.Port() {
              @Override
              public void send(String address, Datagram words) {
                sendTo(address, words);
              }

              @Override
              public void changed(MemberUpdate news) {
                changed.accept(news);
              }

              @Override
              public void clash(String address) {
                if (!clashed) {
                  clashed = true;
                  LOG.error(
                      "members: another front goes by this one's number {} at {}",
                      own.number(),
                      address);
                }
              }
            },
            new SplittableRandom(clock ^ own.number()));
    selector = Selector.open();
    channel = DatagramChannel.open();
    try {
      channel.bind(Address.inNumbers(own.address()));
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_READ);
    } catch (IOException e) {
      channel.close();
      selector.close();
      throw new IOException("members cannot listen on " + own.address() + ": " + e.getMessage(), e);
    }
    thread.setDaemon(true);
  }

  public void start() {
    thread.start();
  }

  /** All that is held of the others, as of the last turn. */
  public List<MemberUpdate> held() {
    return held;
  }

  public Drops drops() {
    return drops;
  }

  /** Tells some that it leaves, and ends; does not wait for it. */
  public void leave() {
    closing = true;
    selector.wakeup();
  }

  /** {@link #leave}, waited for, a second at most. */
  @Override
  public void close() {
    leave();
    try {
      if (thread.isAlive() && !ended.await(1, TimeUnit.SECONDS)) {
        LOG.warn("members: still at work");
      }
      channel.close();
      selector.close();
    } catch (IOException e) {
      LOG.warn("members", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Moment now() {
    return new Moment(System.nanoTime() / 1000);
  }

  private void run() {
    try {
      members.start(now());
      while (!closing) {
        turn();
      }
      members.leave(now());
    } catch (IOException | RuntimeException e) {
      if (!closing) {
        LOG.error("members have failed: this front goes on alone", e);
      }
    } finally {
      ended.countDown();
    }
  }

  private void turn() throws IOException {
    long wait = Math.min(LONGEST_WAIT_MS, (members.next().since(now()).micros() + 999) / 1000);
    if (wait > 0) {
      selector.select(wait);
    } else {
      selector.selectNow();
    }
    selector.selectedKeys().clear();
    for (int i = 0; i < AT_ONCE && read(); i++) {
      continue;
    }
    members.step(now());
    held = members.held();
    drops = new Drops(strangers, replayed, unreadable);
  }

  /** Reads one datagram; false where none is there. */
  private boolean read() {
    in.clear();
    InetSocketAddress sender;
    try {
      sender = (InetSocketAddress) channel.receive(in);
    } catch (IOException refused) {
      return true; // one that is not there: the system says so of an earlier datagram
    }
    if (sender == null) {
      return false;
    }
    byte[] bytes = Arrays.copyOf(in.array(), in.position());
    try {
      if (bytes.length < FROM + NUMBER_BYTES) {
        throw new IllegalArgumentException("cut short");
      }
      int from = ByteBuffer.wrap(bytes).getInt(FROM);
      if (from < 0 || from > 0xffff) {
        throw new IllegalArgumentException("a number out of bounds");
      }
      int length = seal.open(bytes, bytes.length, sealedBy(from));
      members.heard(
          now(),
          sender.getAddress().getHostAddress() + ":" + sender.getPort(),
          Datagram.read(bytes, length));
    } catch (BadPacket e) {
      strangers += e.cause() == Drop.SEAL ? 1 : 0;
      replayed += e.cause() == Drop.REPLAYED ? 1 : 0;
    } catch (IllegalArgumentException e) {
      unreadable++;
    }
    return true;
  }

  /** Who seals, as the trailer takes it: the number, in the form of an address. */
  private static NodeAddress sealedBy(int number) {
    return new NodeAddress(ByteBuffer.allocate(NUMBER_BYTES).putInt(number).array());
  }

  private void sendTo(String address, Datagram words) {
    try {
      channel.send(
          ByteBuffer.wrap(seal.seal(words.bytes(), sealedBy(own.number()))),
          Address.inNumbers(address));
    } catch (IOException | IllegalArgumentException e) {
      LOG.debug("members: not sent to {}: {}", address, e.getMessage()); // as lost; pings find out
    }
  }
}
