package linengauge.vrrp.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.NetworkInterface;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linengauge.Moment;
import linengauge.vrrp.DatagramAuthenticator;
import linengauge.vrrp.DropReason;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.PacketCodec;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.VirtualRouter;
import linengauge.vrrp.VirtualRouters;
import net.logstash.logback.argument.StructuredArguments;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node's virtual routers over UDP, on a thread of their own that does nothing else: viewers'
 * load cannot keep an advertisement back. Between two looks at the timers it reads a bounded number
 * of datagrams, so neither can whoever sends garbage. Who forwards to the shared address is told by
 * datagrams (docs/protocol/vrrp.md), as a switch is by gratuitous ARP or unsolicited neighbour
 * advertisements (RFC 9568, 8.1.2 and 8.2.2).
 */
public final class UdpNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(UdpNode.class);

  /** The name of the thread of each node. */
  public static final String THREAD_NAME = "vrrp";

  private static final int FAREWELLS = 3;
  private static final int FAREWELL_MS = 8;
  private static final int LARGEST = 8192;
  private static final long SEEN_EVERY_MICROS = 100_000;
  private static final byte TAKEN = 1;
  private static final byte GIVEN_UP = 0;

  /** What the front wants to hear; on the node's thread, to be over at once. */
  public interface OwnershipListener {
    void addressAcquired(int vrid);

    void addressReleased(int vrid);
  }

  private final UdpNodeSettings terms;
  private final OwnershipListener owner;
  private final BooleanSupplier unwell;
  private final VirtualRouters routers;
  private final Map<NodeAddress, InetSocketAddress> partners = new LinkedHashMap<>();
  private final Map<Integer, AddressLease> leases = new TreeMap<>();
  private final ByteBuffer in = ByteBuffer.allocate(LARGEST);
  private final NodeAddress own;
  private final NodeAddress group;
  private final Selector selector;
  private final DatagramChannel channel;

  /** Hears the group; null where there is none. */
  private final DatagramChannel groupChannel;

  private final Thread thread = new Thread(this::run, THREAD_NAME);
  private final CountDownLatch ended = new CountDownLatch(1);

  /** How late advertisements go out, microseconds. */
  private final Histogram late = new Histogram(60_000_000L, 2);

  private long announcements = System.currentTimeMillis() * 1000;
  private long sendsFailed;
  private long seenNext;
  private volatile boolean closing;
  private volatile Map<String, Object> seen = Map.of();

  /**
   * Binds at once and starts with {@link #start}.
   *
   * @param unwell asked at every turn: is the front unfit to hold the address? Must answer without
   *     waiting.
   */
  public UdpNode(UdpNodeSettings terms, OwnershipListener owner, BooleanSupplier unwell)
      throws IOException {
    this.terms = terms;
    this.owner = owner;
    this.unwell = unwell;
    this.own = new NodeAddress(terms.listen().getAddress().getAddress());
    for (InetSocketAddress p : terms.partners()) {
      partners.put(new NodeAddress(p.getAddress().getAddress()), p);
    }
    for (RouterSettings r : terms.routers()) {
      leases.put(r.vrid(), new AddressLease());
    }
    DatagramAuthenticator seal =
        terms.authenticationKey() == null
            ? null
            : new DatagramAuthenticator(
                terms.authenticationKey(), System.currentTimeMillis() * 1000);
    this.group =
        terms.multicastGroup() == null
            ? null
            : new NodeAddress(terms.multicastGroup().getAddress().getAddress());
    this.routers =
        new VirtualRouters(
            own,
            List.copyOf(partners.keySet()),
            group,
            terms.routers(),
            new PacketCodec(terms.pseudoHeaderForIpv4()),
            seal,
            new RouterWire());
    selector = Selector.open();
    StandardProtocolFamily family =
        own.isIpv6() ? StandardProtocolFamily.INET6 : StandardProtocolFamily.INET;
    channel = DatagramChannel.open(family);
    groupChannel = group == null ? null : DatagramChannel.open(family);
    try {
      bind();
    } catch (IOException e) {
      channel.close();
      if (groupChannel != null) {
        groupChannel.close();
      }
      selector.close();
      throw new IOException("vrrp cannot listen on " + terms.listen() + ": " + e.getMessage(), e);
    }
    thread.setDaemon(true);
    thread.setPriority(Thread.MAX_PRIORITY);
  }

  /** What the routers act through; called on this node's thread alone. */
  private final class RouterWire implements VirtualRouters.Network {
    @Override
    public void send(byte[] datagram, NodeAddress to) {
      sendTo(datagram, to.equals(group) ? terms.multicastGroup() : partners.get(to));
      if (datagram[2] != 0) {
        // as bridges learn from the source of each (RFC 9568, 7.2)
        tell(TAKEN, datagram[1] & 255);
      }
    }

    @Override
    public void acquireAddress(int vrid) {
      took(vrid);
    }

    @Override
    public void announceAddress(int vrid) {
      tell(TAKEN, vrid);
    }

    @Override
    public void releaseAddress(int vrid) {
      gaveUp(vrid);
    }
  }

  private void bind() throws IOException {
    channel.setOption(StandardSocketOptions.SO_RCVBUF, terms.receiveBufferBytes());
    channel.bind(terms.listen());
    channel.configureBlocking(false);
    channel.register(selector, SelectionKey.OP_READ);
    if (groupChannel != null) {
      join();
    }
  }

  private void join() throws IOException {
    NetworkInterface at = NetworkInterface.getByName(terms.multicastInterface());
    if (at == null) {
      throw new IOException("no network interface " + terms.multicastInterface());
    }
    groupChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    groupChannel.setOption(StandardSocketOptions.SO_RCVBUF, terms.receiveBufferBytes());
    groupChannel.bind(terms.multicastGroup());
    groupChannel.join(terms.multicastGroup().getAddress(), at);
    groupChannel.configureBlocking(false);
    groupChannel.register(selector, SelectionKey.OP_READ);
    channel.setOption(StandardSocketOptions.IP_MULTICAST_IF, at);
    channel.setOption(StandardSocketOptions.IP_MULTICAST_TTL, 1); // one link alone
  }

  /** Takes part from now on; the front is ready to serve. */
  public void start() {
    thread.start();
  }

  public AddressLease lease(int vrid) {
    return leases.get(vrid);
  }

  /**
   * Says goodbye (priority 0 where Active), gives up what it holds, and ends; does not wait for it.
   */
  public void initiateShutdown() {
    closing = true;
    selector.wakeup();
  }

  /** {@link #initiateShutdown}, waited for, a second at most. */
  @Override
  public void close() {
    initiateShutdown();
    try {
      if (thread.isAlive()) {
        ended.await(1, TimeUnit.SECONDS);
      }
      channel.close();
      if (groupChannel != null) {
        groupChannel.close();
      }
      selector.close();
    } catch (IOException e) {
      LOG.warn("vrrp", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Moment now() {
    return new Moment(System.nanoTime() / 1000);
  }

  private void run() {
    try {
      routers.start(now());
      while (!closing) {
        turn();
      }
      routers.shutdown(now());
      publish();
      for (int i = 0; i < FAREWELLS; i++) {
        Thread.sleep(FAREWELL_MS);
        routers.repeatShutdown();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException e) {
      if (!closing) {
        LOG.error("vrrp has failed: this node takes no part", e); // its leases end by themselves
      }
    } finally {
      ended.countDown();
    }
  }

  private void turn() throws IOException {
    Moment due = routers.nextTimer();
    long wait = due == null ? 1000 : Math.min(1000, (due.since(now()).micros() + 999) / 1000);
    if (wait > 0) {
      selector.select(wait);
    } else {
      selector.selectNow();
    }
    selector.selectedKeys().clear();
    read(channel, own);
    if (groupChannel != null) {
      read(groupChannel, group);
    }
    Moment now = now();
    Moment was = routers.nextTimer();
    routers.setUnhealthy(unwell.getAsBoolean(), now);
    if (was != null && !now.before(was)) {
      late.recordValue(Math.min(59_000_000L, now.since(was).micros()));
    }
    routers.runTimers(now);
    publish();
  }

  /** What has come, as far as one turn goes; the rest is read after the timers were looked at. */
  private void read(DatagramChannel from, NodeAddress to) {
    for (int i = 0; i < terms.maxReadsPerIteration(); i++) {
      in.clear();
      InetSocketAddress sender;
      try {
        sender = (InetSocketAddress) from.receive(in);
      } catch (IOException refused) {
        continue; // a partner that is not there: the system says so of an earlier datagram
      }
      if (sender == null) {
        return;
      }
      NodeAddress by = new NodeAddress(sender.getAddress().getAddress());
      if (from == channel || !by.equals(own)) { // a group gives back what was sent to it
        routers.receive(in.array(), in.position(), by, to, now());
      }
    }
  }

  private void publish() {
    for (VirtualRouter r : routers.routers()) {
      leases.get(r.settings().vrid()).renewUntil(r.leaseExpiry().micros());
    }
    long now = System.nanoTime() / 1000;
    if (now >= seenNext || closing) {
      seenNext = now + SEEN_EVERY_MICROS;
      tellState();
    }
  }

  private void tellState() {
    List<Map<String, Object>> all = new ArrayList<>();
    for (VirtualRouter r : routers.routers()) {
      Map<String, Object> m = new LinkedHashMap<>();
      VirtualRouter.Counts c = r.counts();
      m.put("vrid", r.settings().vrid());
      m.put("state", r.state().name());
      m.put("priority", r.priority());
      m.put("unwell", r.isUnhealthy());
      m.put("activations", c.activations);
      m.put("stepsDown", c.stepsDown);
      m.put("adverts", c.advertisementsSent);
      m.put("woken", c.pauses);
      m.put("deafPartners", c.deafPartners);
      m.put("flaps", c.flaps);
      all.add(m);
    }
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("routers", all);
    m.put("heard", routers.receivedCount());
    Map<String, Long> drops = new TreeMap<>();
    for (Map.Entry<DropReason, Long> d : routers.drops().entrySet()) {
      drops.put(d.getKey().name(), d.getValue());
    }
    m.put("dropped", drops);
    m.put("otherAddresses", routers.addressMismatches());
    m.put("otherIntervals", routers.intervalMismatches());
    m.put("sendsFailed", sendsFailed);
    m.put("lateMicrosP50", late.getValueAtPercentile(50));
    m.put("lateMicrosP999", late.getValueAtPercentile(99.9));
    m.put("lateMicrosMost", late.getMaxValue());
    seen = m;
  }

  /** What it saw at its last turn, for the control address: names of JSON and plain values. */
  public Map<String, Object> snapshot() {
    return seen;
  }

  private void took(int vrid) {
    LOG.info("shared address taken {}", StructuredArguments.kv("vrid", vrid));
    tell(TAKEN, vrid);
    owner.addressAcquired(vrid);
  }

  private void gaveUp(int vrid) {
    LOG.info("shared address given up {}", StructuredArguments.kv("vrid", vrid));
    leases.get(vrid).renewUntil(Long.MIN_VALUE); // before anything else is done
    tell(GIVEN_UP, vrid);
    owner.addressReleased(vrid);
  }

  private void tell(byte kind, int vrid) {
    if (terms.announceTo() != null) {
      sendTo(
          ByteBuffer.allocate(12)
              .put((byte) 0x4c)
              .put((byte) 0x41)
              .put(kind)
              .put((byte) vrid)
              .putLong(announcements++)
              .array(),
          terms.announceTo());
    }
  }

  private void sendTo(byte[] datagram, InetSocketAddress to) {
    try {
      if (channel.send(ByteBuffer.wrap(datagram), to) == 0) {
        sendsFailed++; // the system has no room: as good as lost
      }
    } catch (IOException e) {
      sendsFailed++;
    }
  }
}
