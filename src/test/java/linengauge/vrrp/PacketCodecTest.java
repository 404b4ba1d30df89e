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
 * Advertisements on the wire (RFC 9568, sections 5.2 and 7.1), with and without the keyed trailer.
 */
class PacketCodecTest {
  private static final NodeAddress A = NodeAddress.of(192, 0, 2, 1);
  private static final NodeAddress B = NodeAddress.of(192, 0, 2, 2);
  private static final NodeAddress SHARED = NodeAddress.of(192, 0, 2, 100);
  private static final PacketCodec STANDARD = new PacketCodec(false);

  private static Advertisement advert(int vrid, int priority) {
    return new Advertisement(vrid, priority, Span.ofMillis(100), List.of(SHARED));
  }

  private static DropReason cause(byte[] bytes) {
    return assertThrows(
            InvalidPacketException.class, () -> STANDARD.decode(bytes, bytes.length, A, B))
        .reason();
  }

  @Test
  void anAdvertisementHasTheBytesOfTheStandard() throws InvalidPacketException {
    byte[] bytes = STANDARD.encode(advert(7, 200), A, B);
    // 3107 + c801 + 000a + c000 + 0264 = 1bb76 = bb77, whose complement is 4488
    assertArrayEquals(
        new byte[] {0x31, 7, (byte) 200, 1, 0, 10, 0x44, (byte) 0x88, (byte) 192, 0, 2, 100},
        bytes);
    assertEquals(advert(7, 200), STANDARD.decode(bytes, bytes.length, A, B));
  }

  @Test
  void theChecksumOfIpv6CoversThePseudoHeaderAndThatOfIpv4WhereAsked()
      throws InvalidPacketException {
    byte[] six = new byte[16];
    six[0] = 0x20;
    six[15] = 9;
    NodeAddress other = new NodeAddress(six);
    six[15] = 10;
    NodeAddress shared = new NodeAddress(six);
    Advertisement a = new Advertisement(1, 100, Span.ofMillis(40_950), List.of(shared, other));
    byte[] bytes = STANDARD.encode(a, other, shared);
    assertEquals(a, STANDARD.decode(bytes, bytes.length, other, shared));
    assertEquals(
        DropReason.CHECKSUM,
        assertThrows(
                InvalidPacketException.class,
                () -> STANDARD.decode(bytes, bytes.length, shared, shared))
            .reason());
    byte[] old = new PacketCodec(true).encode(advert(1, 1), A, B);
    assertEquals(DropReason.CHECKSUM, cause(old));
    assertEquals(advert(1, 1), new PacketCodec(true).decode(old, old.length, A, B));
  }

  @Test
  void whatIsWrongIsDroppedForItsOwnCause() {
    byte[] good = STANDARD.encode(advert(7, 200), A, B);
    assertEquals(DropReason.VERSION, cause(with(good, 0, 0x21)));
    assertEquals(DropReason.TYPE, cause(with(good, 0, 0x32)));
    assertEquals(DropReason.COUNT, cause(with(good, 3, 0)));
    assertEquals(DropReason.LENGTH, cause(with(good, 3, 2)));
    assertEquals(DropReason.LENGTH, cause(Arrays.copyOf(good, 11)));
    assertEquals(DropReason.LENGTH, cause(Arrays.copyOf(good, 13)));
    assertEquals(DropReason.LENGTH, cause(new byte[3]));
    assertEquals(DropReason.CHECKSUM, cause(with(good, 2, 199)));
    assertEquals(DropReason.VRID, cause(STANDARD.encode(advert(0, 200), A, B)));
    assertEquals(
        DropReason.INTERVAL,
        cause(STANDARD.encode(new Advertisement(7, 200, Span.ofMillis(5), List.of(SHARED)), A, B)));
  }

  private static byte[] with(byte[] bytes, int at, int value) {
    byte[] other = bytes.clone();
    other[at] = (byte) value;
    return other;
  }

  @Test
  void anyBitTurnedAndAnyGarbageIsDropped() {
    byte[] good = STANDARD.encode(advert(7, 200), A, B);
    for (int bit = 0; bit < 8 * good.length; bit++) {
      if (bit >= 32 && bit < 36) {
        continue; // reserved, ignored on receipt; the checksum still tells
      }
      byte[] bad = with(good, bit / 8, good[bit / 8] ^ 1 << bit % 8);
      assertThrows(
          InvalidPacketException.class, () -> STANDARD.decode(bad, bad.length, A, B), "bit " + bit);
    }
    SplittableRandom chance = new SplittableRandom(3);
    Node node = new Node(null);
    for (int i = 0; i < 100_000; i++) {
      byte[] garbage = new byte[chance.nextInt(64)];
      chance.nextBytes(garbage);
      node.routers.receive(garbage, garbage.length, A, B, new Moment(i));
    }
    long dropped = node.routers.drops().values().stream().mapToLong(n -> n).sum();
    assertEquals(100_000, dropped + node.routers.receivedCount());
    assertEquals(VirtualRouter.State.BACKUP, node.routers.routers().get(0).state());
  }

  /** A node with two routers, one of which owns its address; what it sends is kept. */
  private static final class Node implements VirtualRouters.Network {
    private final List<byte[]> sent = new ArrayList<>();
    private final VirtualRouters routers;

    private Node(DatagramAuthenticator seal) {
      routers =
          new VirtualRouters(
              B, List.of(A), null, List.of(terms(7, 100), terms(8, 255)), STANDARD, seal, this);
      routers.start(new Moment(0));
    }

    private static RouterSettings terms(int vrid, int priority) {
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

    private void hears(byte[] bytes, NodeAddress from) {
      routers.receive(bytes, bytes.length, from, B, new Moment(1));
    }

    private long dropped(DropReason cause) {
      return routers.drops().getOrDefault(cause, 0L);
    }

    @Override
    public void send(byte[] datagram, NodeAddress to) {
      sent.add(datagram);
    }

    @Override
    public void acquireAddress(int vrid) {
      // not looked at
    }

    @Override
    public void announceAddress(int vrid) {
      // not looked at
    }

    @Override
    public void releaseAddress(int vrid) {
      // not looked at
    }
  }

  @Test
  void strangersOthersRoutersOwnCopiesAndOwnedAddressesAreNotHeard() {
    Node n = new Node(null);
    n.hears(
        STANDARD.encode(advert(7, 200), NodeAddress.of(192, 0, 2, 9), B),
        NodeAddress.of(192, 0, 2, 9));
    n.hears(STANDARD.encode(advert(9, 200), A, B), A);
    n.hears(STANDARD.encode(advert(7, 200), B, B), B);
    n.hears(STANDARD.encode(advert(8, 200), A, B), A);
    for (DropReason d :
        List.of(DropReason.FOREIGN_SENDER, DropReason.VRID, DropReason.OWN, DropReason.OWNER)) {
      assertEquals(1, n.dropped(d), d.name());
    }
    n.hears(STANDARD.encode(new Advertisement(7, 200, Span.ofMillis(200), List.of(A)), A, B), A);
    assertEquals(1, n.routers.receivedCount());
    assertEquals(1, n.routers.addressMismatches());
    assertEquals(1, n.routers.intervalMismatches());
  }

  @Test
  void withAKeyStrangersCopiesAndOldAdvertisementsAreNotHeard() {
    DatagramAuthenticator theirs =
        new DatagramAuthenticator("a key of this pair".getBytes(StandardCharsets.UTF_8), 1000);
    Node n =
        new Node(
            new DatagramAuthenticator("a key of this pair".getBytes(StandardCharsets.UTF_8), 5));
    byte[] plain = STANDARD.encode(advert(7, 200), A, B);
    n.hears(plain, A);
    n.hears(
        new DatagramAuthenticator("another key".getBytes(StandardCharsets.UTF_8), 1).sign(plain, A),
        A);
    assertEquals(2, n.dropped(DropReason.SEAL));
    byte[] first = theirs.sign(plain, A);
    byte[] second = theirs.sign(plain, A);
    n.hears(with(second, second.length - 1, second[second.length - 1] ^ 1), A);
    assertEquals(3, n.dropped(DropReason.SEAL));
    n.hears(second, A);
    n.hears(second, A);
    n.hears(first, A); // overtaken on its way
    n.hears(first, A);
    assertEquals(2, n.dropped(DropReason.REPLAYED));
    assertEquals(2, n.routers.receivedCount());
    byte[] old = theirs.sign(plain, A);
    for (int i = 0; i < 64; i++) {
      theirs.sign(plain, A); // lost
    }
    n.hears(theirs.sign(plain, A), A);
    n.hears(old, A); // further back than the window goes
    assertEquals(3, n.dropped(DropReason.REPLAYED));
    n.hears(n.sent.get(0), A); // its own, sent back in the partner's name
    assertEquals(4, n.dropped(DropReason.SEAL));
  }
}
