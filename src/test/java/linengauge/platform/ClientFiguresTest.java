package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/**
 * Guards against figures of one client that decide where the requests of others are set up
 * (review/10). The server at port 3 lies in cell 0, the one at port 4 in cell 1.
 */
class ClientFiguresTest {
  private static final String TITLE = "7f3a9c21e0b4d655";
  private static final String FIRST_SERVER = "127.0.0.1:3";

  private static byte[] setUp(long id, String figures) {
    return PlatformViewers.message(
        1, id, 33, "lesson", 35, "1000", 41, TITLE, 43, figures, 63, "m=audio");
  }

  private static FakeNet startedFront() throws Exception {
    FakeNet net = FakeNet.front();
    net.advance(Span.ofSeconds(3)); // A front that has just started avoids cold servers.
    return net;
  }

  private static List<String> setUpAddresses(FakeNet net) {
    List<String> addresses = new ArrayList<>();
    for (String action : net.actions) {
      if (action.startsWith("set-up ")) {
        addresses.add(action.substring("set-up ".length()));
      }
    }
    return addresses;
  }

  @Test
  void aRequestForATitleThatNoCellHoldsIsRefusedAsUnusable() throws Exception {
    FakeNet net = startedFront();
    FakeConnection client = net.acceptClient();
    client.deliver(setUp(1, "home:0;copies:0;top:4"));
    net.advance(Span.ofMillis(100));
    assertEquals(List.of(), setUpAddresses(net));
    assertEquals(List.of(1L), client.releasedIds);
  }

  @Test
  void eachRequestGoesToTheCellsThatItNamesItself() throws Exception {
    for (String others : List.of("home:1;copies:1;top:4", "home:0;top:4", "home:0;copies:4")) {
      FakeNet net = startedFront();
      FakeConnection other = net.acceptClient();
      other.deliver(setUp(1, others));
      net.advance(Span.ofMillis(100));
      net.answerSetUp(setUpAddresses(net).get(0), 1);
      net.actions.clear();
      FakeConnection usual = net.acceptClient();
      for (long id = 2; id < 10; id++) {
        usual.deliver(setUp(id, "home:0;copies:1;top:4"));
        net.advance(Span.ofMillis(100));
        net.answerSetUp(FIRST_SERVER, id);
      }
      List<String> expected = Collections.nCopies(8, FIRST_SERVER);
      assertEquals(expected, setUpAddresses(net), "after a request with " + others);
    }
  }

  /** Guards against servers that are avoided because some clients do not wait for their answers. */
  @Test
  void aClientWithLittleTimeDecidesNothingAboutServers() throws Exception {
    FakeNet net = startedFront();
    FakeConnection hurried = net.acceptClient();
    for (long id = 100; id < 150; id++) {
      hurried.deliver(
          PlatformViewers.message(
              1, id, 33, "lesson", 35, "40", 41, TITLE, 43, "home:0;copies:1", 63, "m"));
      net.advance(Span.ofMillis(100));
    }
    net.actions.clear();
    FakeConnection usual = net.acceptClient();
    for (long id = 1; id <= 20; id++) {
      usual.deliver(setUp(id, "home:0;copies:1;top:4"));
      net.advance(Span.ofMillis(100));
      net.answerSetUp(FIRST_SERVER, id);
    }
    assertEquals(Collections.nCopies(20, FIRST_SERVER), setUpAddresses(net));
  }

  @Test
  void theCellsOfAHandedOverSessionAreThoseOfNoOther() throws Exception {
    FakeNet net = startedFront();
    FakeConnection other = net.acceptClient();
    other.deliver(setUp(1, "home:1;copies:1;top:4;at:s-00000002"));
    net.advance(Span.ofMillis(100));
    net.actions.clear();
    net.acceptClient().deliver(setUp(2, "home:0;copies:1;top:4"));
    net.advance(Span.ofMillis(100));
    assertEquals(List.of(FIRST_SERVER), setUpAddresses(net));
  }
}
