package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.platform.codec.ClientMessageCodec;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.codec.ServerLineCodec;
import linengauge.platform.codec.SetUpRequest;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CodecTest {
  private static final class RecordingHandler
      implements ClientMessageCodec.Handler, ServerLineCodec.Handler {
    final List<String> calls = new ArrayList<>();

    @Override
    public void onSetUp(long id, SetUpRequest request) {
      calls.add(
          "setUp "
              + id
              + " "
              + request.packageName()
              + " "
              + request.timeLeftMs()
              + " "
              + request.title()
              + " "
              + request.firstCell()
              + " "
              + request.cellsInRow()
              + " "
              + request.ceiling()
              + " "
              + request.serverName());
    }

    @Override
    public void onEnded(long id, int cause) {
      calls.add("ended " + id + " " + cause);
    }

    @Override
    public void onTest(long id) {
      calls.add("test " + id);
    }

    @Override
    public void onUnusable(long id, String reason) {
      calls.add("unfit " + id);
    }

    @Override
    public void onStarted(long id, byte[] description) {
      calls.add("plays " + id + " " + new String(description, StandardCharsets.UTF_8));
    }

    @Override
    public void onEnded(long id, int cause, ServerLineCodec.Load load) {
      calls.add("ended " + id + " " + cause + " " + load);
    }

    @Override
    public void onEndConfirmed(long id) {
      calls.add("confirmed " + id);
    }

    @Override
    public void onTestAnswered(long id, boolean passed, ServerLineCodec.Load load) {
      calls.add("tested " + id + " " + passed + " " + load);
    }

    @Override
    public void onShareDelivered(long id, double share) {
      calls.add("share " + id + " " + share);
    }

    @Override
    public void onRungApplied(long id, int rung) {
      calls.add("rung " + id + " " + rung);
    }

    @Override
    public void onLoadsReported(long id, double link, double uplink) {
      calls.add("loads " + id + " " + link + " " + uplink);
    }
  }

  private static byte[] concatenate(byte[]... parts) {
    ByteBuffer buffer =
        ByteBuffer.allocate(Arrays.stream(parts).mapToInt(part -> part.length).sum());
    Arrays.stream(parts).forEach(buffer::put);
    return buffer.array();
  }

  private static List<String> decodeClientMessages(byte[] bytes, SplittableRandom chunkSizes)
      throws MalformedMessageException {
    RecordingHandler handler = new RecordingHandler();
    ClientMessageCodec codec = new ClientMessageCodec(handler);
    for (int position = 0; position < bytes.length; ) {
      int end =
          chunkSizes == null
              ? bytes.length
              : Math.min(bytes.length, position + 1 + chunkSizes.nextInt(40));
      codec.feed(Arrays.copyOfRange(bytes, position, end));
      position = end;
    }
    assertFalse(codec.hasPartialMessage());
    return handler.calls;
  }

  @Test
  void decodesClientMessagesFromChunksOfAnySize() throws MalformedMessageException {
    byte[] messages =
        concatenate(
            PlatformViewers.setUp(7, "lesson", 1500, ";again:1"),
            PlatformViewers.setUp(8, "lesson", 1500, ";at:s-00c41f7a"),
            PlatformViewers.message(12, 9, 61, new byte[] {16}),
            PlatformViewers.message(52, 1, 61, new byte[] {0}),
            PlatformViewers.message(44, 3, 61, new byte[] {0}));
    List<String> decoded = decodeClientMessages(messages, null);
    assertEquals(
        List.of(
            "setUp 7 lesson 1500 7f3a9c21e0b4d655 0 4 4 null",
            "setUp 8 lesson 1500 7f3a9c21e0b4d655 0 4 4 s-00c41f7a",
            "ended 9 16",
            "test 1"),
        decoded);
    for (int seed = 0; seed < 50; seed++) {
      assertEquals(decoded, decodeClientMessages(messages, new SplittableRandom(seed)));
    }
  }

  @Test
  void rejectsAnOversizedMessageFromItsLengthAlone() {
    for (int length : new int[] {0, 8, 16 * 1024, 65535}) {
      byte[] head = ByteBuffer.allocate(2).putShort((short) length).array();
      assertThrows(
          MalformedMessageException.class,
          () -> new ClientMessageCodec(new RecordingHandler()).feed(head),
          "length " + length);
    }
    byte[] malformed = PlatformViewers.message(1, 5, 33, "lesson");
    malformed[12] = 0x7f; // The length of its parameter.
    assertThrows(
        MalformedMessageException.class,
        () -> new ClientMessageCodec(new RecordingHandler()).feed(malformed));
  }

  @Test
  void reportsReadableButUnusableSetUps() throws MalformedMessageException {
    String figures = "home:0;copies:3;top:4;viewer:00";
    byte[] description = "v".getBytes(StandardCharsets.UTF_8);
    List<byte[]> unusable =
        List.of(
            PlatformViewers.message(1, 5, 35, "10", 41, "t", 43, figures, 63, description),
            PlatformViewers.message(
                1, 5, 33, "p", 35, "ten", 41, "t", 43, figures, 63, description),
            PlatformViewers.message(1, 5, 33, "p", 35, "-5", 41, "t", 43, figures, 63, description),
            PlatformViewers.message(1, 5, 33, "p", 35, "10", 41, "t", 43, figures),
            PlatformViewers.message(
                1, 5, 33, "p", 35, "10", 41, "t", 43, figures, 63, new byte[] {(byte) 0xff}),
            PlatformViewers.message(
                1, 5, 33, "p", 33, "p", 35, "10", 41, "t", 43, figures, 63, description),
            PlatformViewers.message(1, 5, 33, "p", 35, "10", 41, "t", 43, "home", 63, description),
            PlatformViewers.message(
                1, 0, 33, "p", 35, "10", 41, "t", 43, figures, 63, description));
    for (byte[] message : unusable) {
      String calls = decodeClientMessages(message, null).toString();
      assertTrue(calls.startsWith("[unfit "), calls);
    }
    assertTrue(
        decodeClientMessages(
                PlatformViewers.message(
                    1, 5, 33, "p", 35, "10", 41, "t", 43, "home:x;copies:3", 63, description),
                null)
            .toString()
            .contains(" " + SetUpRequest.INVALID + " 3 " + SetUpRequest.ABSENT));
  }

  private static List<String> decodeServerLines(String text, int chunkBytes)
      throws MalformedMessageException {
    RecordingHandler handler = new RecordingHandler();
    ServerLineCodec codec = new ServerLineCodec(handler);
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int position = 0; position < bytes.length; position += chunkBytes) {
      codec.feed(
          Arrays.copyOfRange(bytes, position, Math.min(bytes.length, position + chunkBytes)));
    }
    return handler.calls;
  }

  @Test
  void decodesServerLinesFromChunksOfAnySize() throws MalformedMessageException {
    String id = "9b1f03aa5c7e2d41";
    long number = Long.parseUnsignedLong(id, 16);
    String lines =
        "{\"verb\":\"STARTED\",\"tag\":\""
            + id
            + "\",\"opts\":{},\"blob\":\"a\\r\\nb\u00e9\"}\n"
            + "{\"verb\":\"FINISH\",\"tag\":\""
            + id
            + "\",\"opts\":{\"load\":\"x0:0.5;queue:3\"},\"rc\":34}\n"
            + "{\"opts\":{\"load\":\"outstanding:71.1;x0:0.396;x1:1.043\"},\"rc\":1,\"tag\":\""
            + id
            + "\",\"verb\":\"ECHOED\"}\n"
            + "{\"verb\":\"NOTICE\",\"tag\":\""
            + id
            + "\",\"opts\":{\"note\":\"got\",\"value\":0.9}}\n"
            + "{\"verb\":\"NOTICE\",\"tag\":\""
            + id
            + "\",\"opts\":{\"note\":\"level\",\"value\":\"3\"}}\n"
            + "{\"verb\":\"NOTICE\",\"tag\":\""
            + id
            + "\",\"opts\":{\"note\":\"port\",\"value\":\"1.1\"}}\n"
            + "{\"verb\":\"NOTICE\",\"tag\":\""
            + id
            + "\",\"opts\":{\"note\":\"spine\",\"value\":\"0.7\"}}\n"
            + "{\"verb\":\"NOTICE\",\"tag\":\""
            + id
            + "\",\"opts\":{\"note\":\"rain\",\"value\":\"0.7\"}}\n"
            + "{\"verb\":\"PENDING\",\"tag\":\""
            + id
            + "\",\"opts\":{}}\n";
    List<String> expected =
        List.of(
            "plays " + number + " a\r\nb\u00e9",
            "ended " + number + " 34 Load[linkAsked=0.5, uplinkAsked=NaN, streams=NaN]",
            "tested " + number + " true Load[linkAsked=0.396, uplinkAsked=1.043, streams=71.1]",
            "share " + number + " 0.9",
            "rung " + number + " 3",
            "loads " + number + " 1.1 NaN",
            "loads " + number + " NaN 0.7");
    for (int chunkBytes : new int[] {1, 7, 100_000}) {
      assertEquals(expected, decodeServerLines(lines, chunkBytes));
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "noise",
        "[]",
        "{\"verb\":\"STARTED\",\"tag\":\"9b1f03aa5c7e2d41\",\"opts\":{}}",
        "{}{}",
        "{\"verb\":\"STARTED\",\"tag\":\"9b\",\"blob\":\"x\"}",
        "{\"verb\":\"FINISH\",\"tag\":\"9b1f03aa5c7e2d41\",\"rc\":\"x\"}",
        "{\"verb\":\"FINISH\",\"tag\":\"9b1f03aa5c7e2d41\",\"rc\":3000000000}",
        "{\"verb\":\"RAIN\",\"tag\":\"9b1f03aa5c7e2d41\"}",
        "{\"verb\":\"STARTED\",\"tag\":\"9b1f03aa5c7e2d41\",\"blob\":\"x",
        "{\"verb\":7,\"tag\":\"9b1f03aa5c7e2d41\"}"
      })
  void rejectsAMalformedLine(String line) {
    assertThrows(MalformedMessageException.class, () -> decodeServerLines(line + "\n", 1000));
  }

  @Test
  void rejectsAnUnterminatedLineAtTheLimit() {
    assertThrows(
        MalformedMessageException.class,
        () -> decodeServerLines("{\"verb\":\"" + "x".repeat(ServerLineCodec.MAX_LINE_BYTES), 500));
    assertThrows(
        MalformedMessageException.class,
        () ->
            decodeServerLines(
                "{\"verb\":\""
                    + "x".repeat(ServerLineCodec.MAX_LINE_BYTES - 20)
                    + "\"}"
                    + " ".repeat(20)
                    + "\n",
                ServerLineCodec.MAX_LINE_BYTES - 12),
        "also at the limit, where the end of the line comes with the excess bytes");
  }

  /**
   * Guards against a test with cause 0: a server answers it without a load report, and the front
   * would rely on its own estimate alone.
   */
  @Test
  void aTestRequestsALoadReport() {
    assertEquals(
        "{\"verb\":\"ECHO\",\"tag\":\"0000000000000005\",\"opts\":{},\"rc\":1}\n",
        new String(ServerLineCodec.encodeTest(5), StandardCharsets.UTF_8));
  }

  @Test
  void passesDescriptionsUnchanged() throws Exception {
    String description = "c=IN IP4 10.4.7.9\r\n\"\\\u0001\u00e9\ud83d\ude00";
    byte[] line = ServerLineCodec.encodeSetUp(5, "lesson", "t", 100, 2, description);
    assertEquals(
        description,
        new com.fasterxml.jackson.databind.ObjectMapper().readTree(line).path("blob").asText());
    byte[] bytes = description.getBytes(StandardCharsets.UTF_8);
    byte[] answer = ClientMessageCodec.encodeStarted(5, bytes);
    assertArrayEquals(
        bytes, Arrays.copyOfRange(answer, answer.length - bytes.length, answer.length));
    assertFalse(ClientMessageCodec.fitsInMessage(new byte[16 * 1024]));
  }

  @Test
  void deliversOnlyCompleteJournalEvents() throws MalformedMessageException {
    List<String> events = new ArrayList<>();
    byte[] record = PlatformJournal.record(0xc41f7a, 3868, 1, 7, 5000);
    byte[] frame =
        ByteBuffer.allocate(13 + 27).putInt(9 + 27).putLong(42).put((byte) 2).put(record).array();
    byte[] heartbeat = ByteBuffer.allocate(13).putInt(9).putLong(42).put((byte) 0).array();
    JournalFrameCodec codec =
        new JournalFrameCodec(
            (number, whole, rows) -> events.add(number + " " + whole + " " + rows.get(0)));
    codec.feed(heartbeat);
    codec.feed(Arrays.copyOf(frame, 30));
    assertEquals(List.of(), events);
    codec.feed(Arrays.copyOfRange(frame, 30, frame.length));
    assertEquals(
        List.of(
            "42 false ListedBox[id=12853114, address=127.0.0.1:3868, weight=2.0, cell=7, kind=0, state=DRAINING, "
                + "building=0, startedAt=Moment[micros=5000000]]"),
        events);
    for (int length : new int[] {-1, 8, Integer.MAX_VALUE}) {
      byte[] malformed = ByteBuffer.allocate(4).putInt(length).array();
      assertThrows(
          MalformedMessageException.class,
          () -> new JournalFrameCodec((number, whole, rows) -> {}).feed(malformed));
    }
  }
}
