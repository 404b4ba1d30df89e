package linengauge.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The judge of shared addresses, fed records that are in order and records that are not. */
class AddressOwnershipJudgeTest {
  private final List<String> record = new ArrayList<>();

  private void saw(long ms, String what, String more) {
    record.add("{\"at\":" + ms * 1000 + ",\"what\":\"" + what + "\"" + more + "}");
  }

  private void claims(int node, long fromMs, long toMs) {
    for (long t = fromMs; t < toMs; t += 100) {
      saw(t, "advert", ",\"node\":" + node + ",\"vrid\":1,\"priority\":100");
    }
  }

  private void announced(int node, long ms) {
    saw(ms, "announced", ",\"node\":" + node + ",\"vrid\":1");
  }

  private AddressOwnershipJudge.Outcome judged() throws InvalidRecordException {
    record.sort((a, b) -> Long.compare(at(a), at(b)));
    return AddressOwnershipJudge.judge(record, 100, 150, 500);
  }

  private static long at(String line) {
    return Long.parseLong(line.substring(6, line.indexOf(',')));
  }

  @Test
  void aHandoverInOrderIsNoBreach() throws InvalidRecordException {
    saw(0, "pair-quiet", "");
    announced(0, 0);
    claims(0, 10, 1000);
    announced(1, 1000);
    claims(1, 1010, 2000);
    AddressOwnershipJudge.Outcome o = judged();
    assertEquals(List.of(), o.breaches);
    assertEquals(20, o.claims);
    assertEquals(1, o.handovers);
    assertTrue(o.longestOverlapMicros <= 0, "both " + o.longestOverlapMicros);
  }

  @Test
  void twoThatClaimOneAddressInQuietTimesAreABreachAndInASplitAreNot()
      throws InvalidRecordException {
    saw(0, "pair-trouble", "");
    claims(0, 10, 2000);
    claims(1, 60, 1050);
    saw(1000, "pair-quiet", "");
    assertEquals(List.of(), judged().breaches, "they heard each other within an interval");
    record.clear();
    saw(0, "pair-quiet", "");
    claims(0, 10, 2000);
    claims(1, 60, 1050);
    AddressOwnershipJudge.Outcome o = judged();
    assertTrue(o.breaches.size() > 3, "breaches " + o.breaches);
    assertTrue(o.longestOverlapMicros >= 900_000, "both " + o.longestOverlapMicros);
  }

  @Test
  void anAddressThatNobodyClaimsIsABreach() throws InvalidRecordException {
    saw(0, "pair-quiet", "");
    claims(0, 10, 1000);
    claims(1, 2000, 2100);
    assertEquals(1, judged().breaches.size());
  }

  @Test
  void aNodeThatClaimsAsItWakesIsABreachWhereAnotherHasTheAddress() throws InvalidRecordException {
    saw(0, "pair-trouble", "");
    announced(0, 5);
    claims(0, 10, 100);
    saw(110, "front-stopped", ",\"front\":0");
    announced(1, 500);
    saw(2000, "front-continued", ",\"front\":0");
    claims(0, 2010, 2030);
    assertEquals(1, judged().breaches.size());
    record.removeIf(l -> at(l) == 2_010_000);
    claims(0, 3000, 3050);
    AddressOwnershipJudge.Outcome o = judged();
    assertEquals(List.of(), o.breaches);
    assertEquals(1, o.resumedNodes);
  }

  @Test
  void aRequestAnsweredTwiceOrByAnotherFrontIsCounted() throws InvalidRecordException {
    saw(1, "answered", ",\"ask\":\"a\",\"front\":0,\"viewing\":\"0-x-1\"");
    saw(2, "answered", ",\"ask\":\"b\",\"front\":1,\"viewing\":null");
    assertEquals(0, judged().answeredTwice + judged().answeredByOther);
    saw(3, "answered", ",\"ask\":\"a\",\"front\":0,\"viewing\":\"0-x-1\"");
    saw(4, "answered", ",\"ask\":\"c\",\"front\":0,\"viewing\":\"1-x-1\"");
    AddressOwnershipJudge.Outcome o = judged();
    assertEquals(List.of(3L, 1L, 1L), List.of(o.answered, o.answeredTwice, o.answeredByOther));
  }

  @Test
  void aLineThatIsNotJsonIsRefused() {
    record.add("nonsense");
    assertThrows(
        InvalidRecordException.class, () -> AddressOwnershipJudge.judge(record, 100, 150, 500));
  }
}
