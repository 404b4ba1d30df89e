package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import linengauge.Span;
import linengauge.membership.Datagram;
import linengauge.membership.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Lease datagrams in bytes. */
class LeaseCodecTest {
  private static final long LIFE = 1_764_600_000_000L;
  private static final String LONGEST = "a".repeat(Layout.MOST_ADDRESS);

  private static DirectoryEntry entry(int number, String address, DirectoryEntry.State state) {
    return new DirectoryEntry(new Member(number, address, 5, 2), LIFE, state, 7_000 + number);
  }

  private static LeaseMessage.Acknowledgement acknowledgement(List<DirectoryEntry> entries) {
    return new LeaseMessage.Acknowledgement(
        3,
        -9,
        LIFE,
        LIFE + 1,
        LeaseMessage.Registration.SUPERSEDED,
        Span.ofMillis(5_999),
        new Span(123_456),
        Layout.MOST_LONG,
        77,
        true,
        -1,
        Long.MIN_VALUE,
        entries);
  }

  private static LeaseMessage.Evidence evidence(List<Integer> heard) {
    return new LeaseMessage.Evidence(2, 1L << 46, 12, -5, 99, 1, 3, heard);
  }

  private static List<LeaseMessage> messages() {
    Member member = new Member(1799, "10.1.2.3:7000", 5, 2);
    Member named = new Member(0xffff, LONGEST, Layout.MOST_ZONE, Layout.MOST_REGION);
    return List.of(
        new LeaseMessage.Heartbeat(member, LIFE, 42, 12_345, 678, false),
        new LeaseMessage.Heartbeat(named, 1, Integer.MIN_VALUE, 0, 0, true),
        acknowledgement(List.of()),
        acknowledgement(
            List.of(
                entry(7, "127.0.3.1:7000", DirectoryEntry.State.PRESENT),
                entry(8, "front-8.example:65535", DirectoryEntry.State.EXPIRED),
                entry(9, "1.2.3.4:065535", DirectoryEntry.State.LEFT),
                entry(10, "[::1]:7000", DirectoryEntry.State.PRESENT),
                entry(11, "1.2.3.400:70000", DirectoryEntry.State.PRESENT))),
        evidence(List.of()),
        evidence(List.of(6, 7, 300, 1799)),
        evidence(List.of(0xffff)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void whatIsWrittenIsReadAsItWas(LeaseMessage message) {
    byte[] bytes = LeaseCodec.write(message);

    assertEquals(message, LeaseCodec.read(bytes, bytes.length));
    assertEquals(bytes.length, LeaseCodec.size(message));
    assertEquals(2, bytes[0]);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void whatIsCutShortOrLongerThanItSaysIsRefused(LeaseMessage message) {
    byte[] bytes = LeaseCodec.write(message);
    for (int length = 0; length < bytes.length; length++) {
      int cut = length;
      assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(bytes, cut));
    }
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(longer, longer.length));
    byte[] tooLong = Arrays.copyOf(bytes, LeaseCodec.MOST + 1);
    assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(tooLong, tooLong.length));
    assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(bytes, bytes.length + 1));
  }

  /** Noise is refused or read as something within bounds that can be written again. */
  @ParameterizedTest
  @MethodSource("messages")
  void noiseDoesNoHarm(LeaseMessage message) {
    SplittableRandom chance = new SplittableRandom(5);
    int read = 0;
    for (int i = 0; i < 1_000; i++) {
      byte[] bytes = LeaseCodec.write(message);
      for (int k = chance.nextInt(4); k >= 0; k--) {
        bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
      }
      try {
        LeaseMessage noise = LeaseCodec.read(bytes, bytes.length);
        byte[] again = LeaseCodec.write(noise);
        assertEquals(noise, LeaseCodec.read(again, again.length));
        assertTrue(again.length <= LeaseCodec.MOST);
        read++;
      } catch (IllegalArgumentException refused) {
        continue;
      }
    }
    assertTrue(read > 50, "read " + read + " of " + message);
  }

  @Test
  void anotherMechanismsDatagramsAreRefused() {
    byte[] swim = new Datagram(Datagram.Kind.PING, 4, 5, 0, List.of()).encode();

    assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(swim, swim.length));
    byte[] own = LeaseCodec.write(evidence(List.of(1, 2)));
    for (int version = 0; version < 256; version++) {
      own[0] = (byte) version;
      if (version != 2) {
        assertThrows(IllegalArgumentException.class, () -> LeaseCodec.read(own, own.length));
      }
    }
  }

  @Test
  void anEntryWithANumericAddressTakesTwentyFourBytes() {
    assertEquals(24, LeaseCodec.size(entry(7, "10.1.2.3:7000", DirectoryEntry.State.PRESENT)));
    assertEquals(
        Layout.MOST_ENTRY, LeaseCodec.size(entry(7, LONGEST, DirectoryEntry.State.PRESENT)));
  }

  @Test
  void whatIsOutOfBoundsIsNotWritten() {
    String tooLong = LONGEST + "a";
    for (Member member :
        List.of(
            new Member(-1, "a:1", 0, 0),
            new Member(0x10000, "a:1", 0, 0),
            new Member(1, "a:1", 256, 0),
            new Member(1, "a:1", 0, 64),
            new Member(1, "", 0, 0),
            new Member(1, tooLong, 0, 0))) {
      LeaseMessage message = new LeaseMessage.Heartbeat(member, 1, 1, 0, 0, false);
      assertThrows(IllegalArgumentException.class, () -> LeaseCodec.write(message), "" + member);
    }
    LeaseMessage life =
        new LeaseMessage.Heartbeat(new Member(1, "a:1", 0, 0), 1L << 48, 1, 0, 0, false);
    assertThrows(IllegalArgumentException.class, () -> LeaseCodec.write(life));
  }

  /** Numbers far apart go into several parts, each of which fits one datagram. */
  @Test
  void evidenceIsSplitWhereItDoesNotFit() {
    List<Integer> numbers =
        IntStream.rangeClosed(0, 0xffff).filter(n -> n % 3 == 0).boxed().toList();

    List<List<Integer>> parts = LeaseCodec.split(numbers);

    List<Integer> together = new ArrayList<>();
    for (List<Integer> part : parts) {
      byte[] bytes = LeaseCodec.write(evidence(part));
      LeaseMessage.Evidence read = (LeaseMessage.Evidence) LeaseCodec.read(bytes, bytes.length);
      together.addAll(read.heard());
    }
    assertEquals(numbers, together);
    assertEquals(8, parts.size());
    assertEquals(List.of(List.of()), LeaseCodec.split(List.of()));
    int dense = LeaseCodec.size(evidence(IntStream.range(6, 1806).boxed().toList()));
    assertTrue(dense <= 300, "1,800 numbers in " + dense + " bytes");
  }
}
