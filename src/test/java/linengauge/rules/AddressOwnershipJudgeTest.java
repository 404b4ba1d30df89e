package linengauge.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the address ownership judge accepts valid records and finds each breach. */
class AddressOwnershipJudgeTest {
  private final List<String> record = new ArrayList<>();

  private void addEvent(long ms, String what, String more) {
    record.add("{\"at\":" + ms * 1000 + ",\"what\":\"" + what + "\"" + more + "}");
  }

  private void addClaims(int node, long fromMs, long toMs) {
    for (long t = fromMs; t < toMs; t += 100) {
      addEvent(t, "advert", ",\"node\":" + node + ",\"vrid\":1,\"priority\":100");
    }
  }

  private void addAnnouncement(int node, long ms) {
    addEvent(ms, "announced", ",\"node\":" + node + ",\"vrid\":1");
  }

  private AddressOwnershipJudge.Outcome judge() throws InvalidRecordException {
    record.sort((a, b) -> Long.compare(at(a), at(b)));
    return AddressOwnershipJudge.judge(record, 100, 150, 500);
  }

  private static long at(String line) {
    return Long.parseLong(line.substring(6, line.indexOf(',')));
  }

  @Test
  void anOrderlyHandoverIsNoBreach() throws InvalidRecordException {
    addEvent(0, "pair-quiet", "");
    addAnnouncement(0, 0);
    addClaims(0, 10, 1000);
    addAnnouncement(1, 1000);
    addClaims(1, 1010, 2000);
    AddressOwnershipJudge.Outcome outcome = judge();
    assertEquals(List.of(), outcome.breaches);
    assertEquals(20, outcome.claims);
    assertEquals(1, outcome.handovers);
    assertTrue(outcome.longestOverlapMicros <= 0, "both " + outcome.longestOverlapMicros);
  }

  @Test
  void overlappingClaimsAreABreachOnlyWhileNoFaultIsActive() throws InvalidRecordException {
    addEvent(0, "pair-trouble", "");
    addClaims(0, 10, 2000);
    addClaims(1, 60, 1050);
    addEvent(1000, "pair-quiet", "");
    assertEquals(List.of(), judge().breaches, "the nodes received each other within an interval");
    record.clear();
    addEvent(0, "pair-quiet", "");
    addClaims(0, 10, 2000);
    addClaims(1, 60, 1050);
    AddressOwnershipJudge.Outcome outcome = judge();
    assertTrue(outcome.breaches.size() > 3, "breaches " + outcome.breaches);
    assertTrue(outcome.longestOverlapMicros >= 900_000, "both " + outcome.longestOverlapMicros);
  }

  @Test
  void anAddressThatNobodyClaimsIsABreach() throws InvalidRecordException {
    addEvent(0, "pair-quiet", "");
    addClaims(0, 10, 1000);
    addClaims(1, 2000, 2100);
    assertEquals(1, judge().breaches.size());
  }

  @Test
  void aNodeThatClaimsAnAddressAfterItsPauseIsABreachIfAnotherOwnsIt()
      throws InvalidRecordException {
    addEvent(0, "pair-trouble", "");
    addAnnouncement(0, 5);
    addClaims(0, 10, 100);
    addEvent(110, "front-stopped", ",\"front\":0");
    addAnnouncement(1, 500);
    addEvent(2000, "front-continued", ",\"front\":0");
    addClaims(0, 2010, 2030);
    assertEquals(1, judge().breaches.size());
    record.removeIf(l -> at(l) == 2_010_000);
    addClaims(0, 3000, 3050);
    AddressOwnershipJudge.Outcome outcome = judge();
    assertEquals(List.of(), outcome.breaches);
    assertEquals(1, outcome.resumedNodes);
  }

  @Test
  void aRequestAnsweredTwiceOrByAnotherFrontIsCounted() throws InvalidRecordException {
    addEvent(1, "answered", ",\"ask\":\"a\",\"front\":0,\"viewing\":\"0-x-1\"");
    addEvent(2, "answered", ",\"ask\":\"b\",\"front\":1,\"viewing\":null");
    assertEquals(0, judge().answeredTwice + judge().answeredByOther);
    addEvent(3, "answered", ",\"ask\":\"a\",\"front\":0,\"viewing\":\"0-x-1\"");
    addEvent(4, "answered", ",\"ask\":\"c\",\"front\":0,\"viewing\":\"1-x-1\"");
    AddressOwnershipJudge.Outcome outcome = judge();
    assertEquals(
        List.of(3L, 1L, 1L),
        List.of(outcome.answered, outcome.answeredTwice, outcome.answeredByOther));
  }

  @Test
  void aLineThatIsNotJsonIsRejected() {
    record.add("nonsense");
    assertThrows(
        InvalidRecordException.class, () -> AddressOwnershipJudge.judge(record, 100, 150, 500));
  }
}
