package linengauge.vrrp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

/**
 * The encoding and validation of advertisements (RFC 9568, sections 5.2 and 7.1), with and without
 * the keyed trailer.
 */
class PacketCodecTest {
  private static final NodeAddress A = NodeAddress.of(192, 0, 2, 1);
  private static final NodeAddress B = NodeAddress.of(192, 0, 2, 2);
  private static final NodeAddress SHARED = NodeAddress.of(192, 0, 2, 100);
  private static final PacketCodec STANDARD = new PacketCodec(false);

  private static Advertisement advert(int vrid, int priority) {
    return new Advertisement(vrid, priority, Span.ofMillis(100), List.of(SHARED));
  }

  private static DropReason dropReason(byte[] bytes) {
    return assertThrows(
            InvalidPacketException.class, () -> STANDARD.decode(bytes, bytes.length, A, B))
        .reason();
  }

  @Test
  void advertisementIsEncodedAsInTheStandard() throws InvalidPacketException {
    byte[] bytes = STANDARD.encode(advert(7, 200), A, B);
    // 3107 + c801 + 000a + c000 + 0264 = 1bb76 = bb77, whose complement is 4488
    assertArrayEquals(
        new byte[] {0x31, 7, (byte) 200, 1, 0, 10, 0x44, (byte) 0x88, (byte) 192, 0, 2, 100},
        bytes);
    assertEquals(advert(7, 200), STANDARD.decode(bytes, bytes.length, A, B));
  }

  @Test
  void checksumCoversThePseudoHeaderForIpv6AndOptionallyForIpv4() throws InvalidPacketException {
    byte[] ipv6Bytes = new byte[16];
    ipv6Bytes[0] = 0x20;
    ipv6Bytes[15] = 9;
    NodeAddress other = new NodeAddress(ipv6Bytes);
    ipv6Bytes[15] = 10;
    NodeAddress shared = new NodeAddress(ipv6Bytes);
    Advertisement advertisement =
        new Advertisement(1, 100, Span.ofMillis(40_950), List.of(shared, other));
    byte[] bytes = STANDARD.encode(advertisement, other, shared);
    assertEquals(advertisement, STANDARD.decode(bytes, bytes.length, other, shared));
    assertEquals(
        DropReason.CHECKSUM,
        assertThrows(
                InvalidPacketException.class,
                () -> STANDARD.decode(bytes, bytes.length, shared, shared))
            .reason());
    byte[] withPseudoHeader = new PacketCodec(true).encode(advert(1, 1), A, B);
    assertEquals(DropReason.CHECKSUM, dropReason(withPseudoHeader));
    assertEquals(
        advert(1, 1),
        new PacketCodec(true).decode(withPseudoHeader, withPseudoHeader.length, A, B));
  }

  @Test
  void eachDefectIsDroppedForItsOwnReason() {
    byte[] good = STANDARD.encode(advert(7, 200), A, B);
    assertEquals(DropReason.VERSION, dropReason(with(good, 0, 0x21)));
    assertEquals(DropReason.TYPE, dropReason(with(good, 0, 0x32)));
    assertEquals(DropReason.COUNT, dropReason(with(good, 3, 0)));
    assertEquals(DropReason.LENGTH, dropReason(with(good, 3, 2)));
    assertEquals(DropReason.LENGTH, dropReason(Arrays.copyOf(good, 11)));
    assertEquals(DropReason.LENGTH, dropReason(Arrays.copyOf(good, 13)));
    assertEquals(DropReason.LENGTH, dropReason(new byte[3]));
    assertEquals(DropReason.CHECKSUM, dropReason(with(good, 2, 199)));
    assertEquals(DropReason.VRID, dropReason(STANDARD.encode(advert(0, 200), A, B)));
    assertEquals(
        DropReason.INTERVAL,
        dropReason(
            STANDARD.encode(new Advertisement(7, 200, Span.ofMillis(5), List.of(SHARED)), A, B)));
  }

  private static byte[] with(byte[] bytes, int at, int value) {
    byte[] other = bytes.clone();
    other[at] = (byte) value;
    return other;
  }

  @Test
  void anyFlippedBitAndAnyRandomDatagramIsDropped() {
    byte[] good = STANDARD.encode(advert(7, 200), A, B);
    for (int bit = 0; bit < 8 * good.length; bit++) {
      if (bit >= 32 && bit < 36) {
        // These bits are reserved and ignored on receipt; the checksum covers them.
        continue;
      }
      byte[] corrupted = with(good, bit / 8, good[bit / 8] ^ 1 << bit % 8);
      assertThrows(
          InvalidPacketException.class,
          () -> STANDARD.decode(corrupted, corrupted.length, A, B),
          "bit " + bit);
    }
    SplittableRandom random = new SplittableRandom(3);
    Node node = new Node(null);
    for (int i = 0; i < 100_000; i++) {
      byte[] garbage = new byte[random.nextInt(64)];
      random.nextBytes(garbage);
      node.routers.receive(garbage, garbage.length, A, B, new Moment(i));
    }
    long dropped = node.routers.drops().values().stream().mapToLong(count -> count).sum();
    assertEquals(100_000, dropped + node.routers.receivedCount());
    assertEquals(VirtualRouter.State.BACKUP, node.routers.routers().get(0).state());
  }

  /** A node with two routers, one of which owns its address; it records what it sends. */
  private static final class Node implements VirtualRouters.Network {
    private final List<byte[]> sent = new ArrayList<>();
    private final VirtualRouters routers;

    private Node(DatagramAuthenticator authenticator) {
      routers =
          new VirtualRouters(
              B,
              List.of(A),
              null,
              List.of(settings(7, 100), settings(8, 255)),
              STANDARD,
              authenticator,
              this);
      routers.start(new Moment(0));
    }

    private static RouterSettings settings(int vrid, int priority) {
      return new RouterSettings(
          vrid,
          priority,
          Span.ofMillis(100),
          true,
          true,
          List.of(SHARED),
          B,
          RouterSettings.Extensions.NONE);
    }

    private void receive(byte[] bytes, NodeAddress from) {
      routers.receive(bytes, bytes.length, from, B, new Moment(1));
    }

    private long dropCount(DropReason reason) {
      return routers.drops().getOrDefault(reason, 0L);
    }

    @Override
    public void send(byte[] datagram, NodeAddress to) {
      sent.add(datagram);
    }

    @Override
    public void acquireAddress(int vrid) {
      // Not under test.
    }

    @Override
    public void announceAddress(int vrid) {
      // Not under test.
    }

    @Override
    public void releaseAddress(int vrid) {
      // Not under test.
    }
  }

  @Test
  void datagramsOfUnknownSendersOtherRoutersAndThisNodeAreDropped() {
    Node node = new Node(null);
    node.receive(
        STANDARD.encode(advert(7, 200), NodeAddress.of(192, 0, 2, 9), B),
        NodeAddress.of(192, 0, 2, 9));
    node.receive(STANDARD.encode(advert(9, 200), A, B), A);
    node.receive(STANDARD.encode(advert(7, 200), B, B), B);
    node.receive(STANDARD.encode(advert(8, 200), A, B), A);
    for (DropReason reason :
        List.of(DropReason.FOREIGN_SENDER, DropReason.VRID, DropReason.OWN, DropReason.OWNER)) {
      assertEquals(1, node.dropCount(reason), reason.name());
    }
    node.receive(
        STANDARD.encode(new Advertisement(7, 200, Span.ofMillis(200), List.of(A)), A, B), A);
    assertEquals(1, node.routers.receivedCount());
    assertEquals(1, node.routers.addressMismatches());
    assertEquals(1, node.routers.intervalMismatches());
  }

  @Test
  void withAKeyUnsignedForgedAndReplayedAdvertisementsAreDropped() {
    DatagramAuthenticator partnerAuthenticator =
        new DatagramAuthenticator("a key of this pair".getBytes(StandardCharsets.UTF_8), 1000);
    Node node =
        new Node(
            new DatagramAuthenticator("a key of this pair".getBytes(StandardCharsets.UTF_8), 5));
    byte[] plain = STANDARD.encode(advert(7, 200), A, B);
    node.receive(plain, A);
    node.receive(
        new DatagramAuthenticator("another key".getBytes(StandardCharsets.UTF_8), 1).sign(plain, A),
        A);
    assertEquals(2, node.dropCount(DropReason.SEAL));
    byte[] first = partnerAuthenticator.sign(plain, A);
    byte[] second = partnerAuthenticator.sign(plain, A);
    node.receive(with(second, second.length - 1, second[second.length - 1] ^ 1), A);
    assertEquals(3, node.dropCount(DropReason.SEAL));
    node.receive(second, A);
    node.receive(second, A);
    // Reordered in the network.
    node.receive(first, A);
    node.receive(first, A);
    assertEquals(2, node.dropCount(DropReason.REPLAYED));
    assertEquals(2, node.routers.receivedCount());
    byte[] replayed = partnerAuthenticator.sign(plain, A);
    for (int i = 0; i < 64; i++) {
      // Lost in the network.
      partnerAuthenticator.sign(plain, A);
    }
    node.receive(partnerAuthenticator.sign(plain, A), A);
    // Older than the replay window.
    node.receive(replayed, A);
    assertEquals(3, node.dropCount(DropReason.REPLAYED));
    // Its own advertisement, replayed with the partner's address.
    node.receive(node.sent.get(0), A);
    assertEquals(4, node.dropCount(DropReason.SEAL));
  }
}
