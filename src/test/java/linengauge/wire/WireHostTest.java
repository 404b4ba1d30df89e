package linengauge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WireHostTest {
  private static final String CONF =
      """
            {"balancers":1,"me":0,"zone":0,"new":{"a":[1,null]},"weights":"rough",
            "domain":{"ladderKb":[30.0,60.0],"worthByRung":[0.4,1.0],"rateFactor":[1.0],"floorByClass":[0],
            "highestRung":[1],"licenceCap":[0],"places":4,"shelves":1,"placesByKind":[20],"linksKb":2000.0,
            "uplinkKb":2000.0,"weightKb":1000.0,"seeUs":500000},
            "guarantees":{"coldUs":5000000,"drainGraceUs":1000000,"fallMultiple":2,"startCapacity":0.4,
            "tipAfterUs":2000000},"policyLimits":{"maxAttempts":2,"maxRetryAfterUs":2000000,"probing":false},
            "requestClasses":[{"aimUs":800000,"idempotency":"safe","worth":1.0}]}"""
          .replace("\n", "");
  private static final String START =
      "[\"attach\",3,5,"
          + CONF
          + "],[\"pool\",0,[[70,1,0,0,\"SERVING\",0,null],"
          + "[80,1,1,0,\"SERVING\"]]],[\"backendsChanged\",3,0,1,\"remembered\"]";

  private static String run(String input) throws Exception {
    var out = new ByteArrayOutputStream();
    var in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
    new WireHost(
            in, out, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8))
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(long simTimeMicros, String events) {
    return "{\"simTimeUs\":" + simTimeMicros + ",\"happened\":[" + events + "]}\n";
  }

  private static String demand(int id) {
    return "[\"demand\",3,"
        + id
        + ",\"2b8e6401d9f37c10\",3000000,null,0,0,0,null,1,1,\"91f03b7c55d20a64\"]";
  }

  @Test
  void aDemandIsPassedToAHolderAndItsEndIsHandled() throws Exception {
    String[] replies =
        run(batch(10, START)
                + batch(20, demand(9))
                + batch(30, "[\"headers\",3,9,70,80000,0],[\"statusNote\",3,9,70,0.5,77,0]")
                + batch(
                    40,
                    "[\"completed\",3,9,0,true,200,90000,70,{\"x0\":0.5,\"fresh\":2}],[\"cancelledByClient\",3,9]"))
            .split("\n");
    assertEquals(4, replies.length);
    assertTrue(replies[1].contains("[\"passOn\",3,9,70,"), replies[1]);
    assertEquals("{\"out\":[]}", replies[3]);
  }

  @Test
  void poolsApplyInTheOrderOfEvents() throws Exception {
    String changes =
        "[\"pool\",0,[[70,1,0,0,\"DELETED\"]]],[\"backendsChanged\",3,0,2,\"changes\"],"
            + "[\"pool\",0,[[80,1,0,0,\"SERVING\"]]],[\"backendsChanged\",3,0,3,\"changes\"],";
    assertTrue(
        run(batch(10, START) + batch(20, changes + demand(9))).contains("[\"passOn\",3,9,80,"));
  }

  @Test
  void aKilledFrontIsRemovedWithItsState() throws Exception {
    String[] replies =
        run(batch(10, START)
                + batch(20, demand(9))
                + batch(30, "[\"kill\",3]")
                + batch(40, "[\"completed\",3,9,0,false,502,90000,70]," + demand(10)))
            .split("\n");
    assertEquals("{\"out\":[]}", replies[3]);
  }

  @Test
  void frontsActOnlyOnTheirOwnEvents() throws Exception {
    String bothFronts =
        START
            + ","
            + START
                .replace("\"attach\",3", "\"attach\",4")
                .replace("\"backendsChanged\",3", "\"backendsChanged\",4");
    assertTrue(!run(batch(10, bothFronts) + batch(20, demand(9))).split("\n")[1].contains(",4,"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "hello|line 2: not a batch",
        "[1]|line 2: not a batch",
        "{\"simTimeUs\":5}|line 2: not a batch",
        "{\"simTimeUs\":5,\"happened\":[[\"dance\",3]]}|unknown event 'dance'",
        "{\"simTimeUs\":5,\"happened\":[[\"kill\",\"x\"]]}|'front' should be a whole number",
        "{\"simTimeUs\":5,\"happened\":[[\"reminder\",3,7]]}|'nonce' should be text",
        "{\"simTimeUs\":5,\"happened\":[[\"reminder\",3,\"a\"]|line 2: not a batch"
      })
  void aMalformedLineIsReportedWithItsNumber(String line, String problem) {
    MalformedLineException exception =
        assertThrows(MalformedLineException.class, () -> run(batch(1, START) + line + "\n"));
    assertTrue(
        exception.getMessage().startsWith("line 2: ") && exception.getMessage().contains(problem),
        exception.getMessage());
  }
}
