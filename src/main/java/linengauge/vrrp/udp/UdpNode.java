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
 * One node's virtual routers over UDP. They run on a dedicated thread, so that load from viewers
 * cannot delay an advertisement. Between two checks of the timers it reads a limited number of
 * datagrams, so that a flood of invalid ones cannot either. Whoever forwards to the shared address
 * is notified by datagrams (docs/protocol/vrrp.md), as a switch is by gratuitous ARP or unsolicited
 * neighbor advertisements (RFC 9568, sections 8.1.2 and 8.2.2).
 */
public final class UdpNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(UdpNode.class);

  /** The name of each node's thread. */
  public static final String THREAD_NAME = "vrrp";

  private static final int SHUTDOWN_REPEATS = 3;
  private static final int SHUTDOWN_REPEAT_DELAY_MS = 8;
  private static final int MAX_DATAGRAM_BYTES = 8192;
  private static final long SNAPSHOT_INTERVAL_MICROS = 100_000;
  private static final byte ADDRESS_ACQUIRED = 1;
  private static final byte ADDRESS_RELEASED = 0;

  /** Notified of changes of ownership on the node's thread; must return at once. */
  public interface OwnershipListener {
    void addressAcquired(int vrid);

    void addressReleased(int vrid);
  }

  private final UdpNodeSettings config;
  private final OwnershipListener listener;
  private final BooleanSupplier unhealthy;
  private final VirtualRouters routers;
  private final Map<NodeAddress, InetSocketAddress> partners = new LinkedHashMap<>();
  private final Map<Integer, AddressLease> leases = new TreeMap<>();
  private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
  private final NodeAddress primaryAddress;
  private final NodeAddress multicastGroup;
  private final Selector selector;
  private final DatagramChannel channel;

  /** Receives from the multicast group; null if there is none. */
  private final DatagramChannel multicastChannel;

  private final Thread thread = new Thread(this::run, THREAD_NAME);
  private final CountDownLatch stopped = new CountDownLatch(1);

  /** How late timers run, in microseconds. */
  private final Histogram timerDelayMicros = new Histogram(60_000_000L, 2);

  private long nextAnnouncementNumber = System.currentTimeMillis() * 1000;
  private long failedSends;
  private long nextSnapshotAtMicros;
  private volatile boolean closing;
  private volatile Map<String, Object> snapshot = Map.of();

  /**
   * Binds the sockets; {@link #start} starts the node.
   *
   * @param unhealthy asked in every iteration whether the front is unfit to hold the address; must
   *     not block
   */
  public UdpNode(UdpNodeSettings config, OwnershipListener listener, BooleanSupplier unhealthy)
      throws IOException {
    this.config = config;
    this.listener = listener;
    this.unhealthy = unhealthy;
    this.primaryAddress = new NodeAddress(config.listen().getAddress().getAddress());
    for (InetSocketAddress partner : config.partners()) {
      partners.put(new NodeAddress(partner.getAddress().getAddress()), partner);
    }
    for (RouterSettings router : config.routers()) {
      leases.put(router.vrid(), new AddressLease());
    }
    DatagramAuthenticator authenticator =
        config.authenticationKey() == null
            ? null
            : new DatagramAuthenticator(
                config.authenticationKey(), System.currentTimeMillis() * 1000);
    this.multicastGroup =
        config.group() == null ? null : new NodeAddress(config.group().getAddress().getAddress());
    this.routers =
        new VirtualRouters(
            primaryAddress,
            List.copyOf(partners.keySet()),
            multicastGroup,
            config.routers(),
            new PacketCodec(config.pseudoHeaderForIpv4()),
            authenticator,
            new RouterNetwork());
    selector = Selector.open();
    StandardProtocolFamily family =
        primaryAddress.isIpv6() ? StandardProtocolFamily.INET6 : StandardProtocolFamily.INET;
    channel = DatagramChannel.open(family);
    multicastChannel = multicastGroup == null ? null : DatagramChannel.open(family);
    try {
      bind();
    } catch (IOException e) {
      channel.close();
      if (multicastChannel != null) {
        multicastChannel.close();
      }
      selector.close();
      throw new IOException("vrrp cannot listen on " + config.listen() + ": " + e.getMessage(), e);
    }
    thread.setDaemon(true);
    thread.setPriority(Thread.MAX_PRIORITY);
  }

  /** The network of the routers; called on this node's thread only. */
  private final class RouterNetwork implements VirtualRouters.Network {
    @Override
    public void send(byte[] datagram, NodeAddress to) {
      sendTo(datagram, to.equals(multicastGroup) ? config.group() : partners.get(to));
      if (datagram[2] != 0) {
        // Bridges learn from the source of each advertisement (RFC 9568, section 7.2).
        sendAnnouncement(ADDRESS_ACQUIRED, datagram[1] & 255);
      }
    }

    @Override
    public void acquireAddress(int vrid) {
      handleAcquired(vrid);
    }

    @Override
    public void announceAddress(int vrid) {
      sendAnnouncement(ADDRESS_ACQUIRED, vrid);
    }

    @Override
    public void releaseAddress(int vrid) {
      handleReleased(vrid);
    }
  }

  private void bind() throws IOException {
    channel.setOption(StandardSocketOptions.SO_RCVBUF, config.receiveBufferBytes());
    channel.bind(config.listen());
    channel.configureBlocking(false);
    channel.register(selector, SelectionKey.OP_READ);
    if (multicastChannel != null) {
      joinMulticastGroup();
    }
  }

  private void joinMulticastGroup() throws IOException {
    NetworkInterface networkInterface = NetworkInterface.getByName(config.groupInterface());
    if (networkInterface == null) {
      throw new IOException("no network interface " + config.groupInterface());
    }
    multicastChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    multicastChannel.setOption(StandardSocketOptions.SO_RCVBUF, config.receiveBufferBytes());
    multicastChannel.bind(config.group());
    multicastChannel.join(config.group().getAddress(), networkInterface);
    multicastChannel.configureBlocking(false);
    multicastChannel.register(selector, SelectionKey.OP_READ);
    channel.setOption(StandardSocketOptions.IP_MULTICAST_IF, networkInterface);
    // Limits the datagrams to the local link.
    channel.setOption(StandardSocketOptions.IP_MULTICAST_TTL, 1);
  }

  /** Starts the routers; the front must be ready to serve. */
  public void start() {
    thread.start();
  }

  public AddressLease lease(int vrid) {
    return leases.get(vrid);
  }

  /**
   * Starts the shutdown without waiting for it: an Active router advertises priority 0, and all
   * addresses are released.
   */
  public void initiateShutdown() {
    closing = true;
    selector.wakeup();
  }

  /** Does {@link #initiateShutdown} and waits for its end, for a second at most. */
  @Override
  public void close() {
    initiateShutdown();
    try {
      if (thread.isAlive()) {
        stopped.await(1, TimeUnit.SECONDS);
      }
      channel.close();
      if (multicastChannel != null) {
        multicastChannel.close();
      }
      selector.close();
    } catch (IOException e) {
      LOG.warn("cannot close the VRRP sockets", e);
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
        runIteration();
      }
      routers.shutdown(now());
      publishLeases();
      for (int i = 0; i < SHUTDOWN_REPEATS; i++) {
        Thread.sleep(SHUTDOWN_REPEAT_DELAY_MS);
        routers.repeatShutdown();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException e) {
      if (!closing) {
        // Its leases expire by themselves.
        LOG.error("VRRP has failed; this node takes no part", e);
      }
    } finally {
      stopped.countDown();
    }
  }

  private void runIteration() throws IOException {
    Moment nextTimer = routers.nextTimer();
    long waitMillis =
        nextTimer == null ? 1000 : Math.min(1000, (nextTimer.since(now()).micros() + 999) / 1000);
    if (waitMillis > 0) {
      selector.select(waitMillis);
    } else {
      selector.selectNow();
    }
    selector.selectedKeys().clear();
    read(channel, primaryAddress);
    if (multicastChannel != null) {
      read(multicastChannel, multicastGroup);
    }
    Moment now = now();
    Moment timer = routers.nextTimer();
    routers.setUnhealthy(unhealthy.getAsBoolean(), now);
    if (timer != null && !now.isBefore(timer)) {
      timerDelayMicros.recordValue(Math.min(59_000_000L, now.since(timer).micros()));
    }
    routers.runTimers(now);
    publishLeases();
  }

  /** Reads pending datagrams up to the limit; the rest is read after the timers have run. */
  private void read(DatagramChannel source, NodeAddress destination) {
    for (int i = 0; i < config.maxReadsPerIteration(); i++) {
      receiveBuffer.clear();
      InetSocketAddress senderSocket;
      try {
        senderSocket = (InetSocketAddress) source.receive(receiveBuffer);
      } catch (IOException earlierSendRefused) {
        // The system reports that a partner's port refused an earlier datagram.
        continue;
      }
      if (senderSocket == null) {
        return;
      }
      NodeAddress sender = new NodeAddress(senderSocket.getAddress().getAddress());
      // A multicast group also delivers what this node sent to it.
      if (source == channel || !sender.equals(primaryAddress)) {
        routers.receive(
            receiveBuffer.array(), receiveBuffer.position(), sender, destination, now());
      }
    }
  }

  private void publishLeases() {
    for (VirtualRouter router : routers.routers()) {
      leases.get(router.settings().vrid()).renewUntil(router.leaseExpiry().micros());
    }
    long nowMicros = System.nanoTime() / 1000;
    if (nowMicros >= nextSnapshotAtMicros || closing) {
      nextSnapshotAtMicros = nowMicros + SNAPSHOT_INTERVAL_MICROS;
      updateSnapshot();
    }
  }

  private void updateSnapshot() {
    List<Map<String, Object>> routerValues = new ArrayList<>();
    for (VirtualRouter router : routers.routers()) {
      Map<String, Object> values = new LinkedHashMap<>();
      VirtualRouter.Counts counts = router.counts();
      values.put("vrid", router.settings().vrid());
      values.put("state", router.state().name());
      values.put("priority", router.priority());
      values.put("unwell", router.isUnhealthy());
      values.put("activations", counts.activations);
      values.put("stepsDown", counts.stepsDown);
      values.put("adverts", counts.advertisementsSent);
      values.put("woken", counts.pauses);
      values.put("deafPartners", counts.deafPartners);
      values.put("flaps", counts.flaps);
      routerValues.add(values);
    }
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("routers", routerValues);
    values.put("heard", routers.receivedCount());
    Map<String, Long> drops = new TreeMap<>();
    for (Map.Entry<DropReason, Long> drop : routers.drops().entrySet()) {
      drops.put(drop.getKey().name(), drop.getValue());
    }
    values.put("dropped", drops);
    values.put("otherAddresses", routers.addressMismatches());
    values.put("otherIntervals", routers.intervalMismatches());
    values.put("sendsFailed", failedSends);
    values.put("lateMicrosP50", timerDelayMicros.getValueAtPercentile(50));
    values.put("lateMicrosP999", timerDelayMicros.getValueAtPercentile(99.9));
    values.put("lateMicrosMost", timerDelayMicros.getMaxValue());
    snapshot = values;
  }

  /** Returns the state after a recent iteration, for the control address: JSON keys and values. */
  public Map<String, Object> snapshot() {
    return snapshot;
  }

  private void handleAcquired(int vrid) {
    LOG.info("shared address taken {}", StructuredArguments.kv("vrid", vrid));
    sendAnnouncement(ADDRESS_ACQUIRED, vrid);
    listener.addressAcquired(vrid);
  }

  private void handleReleased(int vrid) {
    LOG.info("shared address given up {}", StructuredArguments.kv("vrid", vrid));
    // Ends the lease before anything else.
    leases.get(vrid).renewUntil(Long.MIN_VALUE);
    sendAnnouncement(ADDRESS_RELEASED, vrid);
    listener.addressReleased(vrid);
  }

  private void sendAnnouncement(byte kind, int vrid) {
    if (config.announceTo() != null) {
      sendTo(
          ByteBuffer.allocate(12)
              .put((byte) 0x4c)
              .put((byte) 0x41)
              .put(kind)
              .put((byte) vrid)
              .putLong(nextAnnouncementNumber++)
              .array(),
          config.announceTo());
    }
  }

  private void sendTo(byte[] datagram, InetSocketAddress to) {
    try {
      if (channel.send(ByteBuffer.wrap(datagram), to) == 0) {
        // The send buffer is full; the datagram counts as lost.
        failedSends++;
      }
    } catch (IOException e) {
      failedSends++;
    }
  }
}
