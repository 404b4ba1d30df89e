package linengauge.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Checks that a valid record has no breaches and that each breach of a rule is found. */
class JudgeTest {
  private static final String TERMS =
      "{\"at\":0,\"what\":\"terms\",\"packages\":[{\"name\":\"plain\",\"lowestRung\":0,"
          + "\"highestRung\":4,\"seats\":0,\"paidAtSetUp\":false},{\"name\":\"paid\",\"lowestRung\":0,\"highestRung\":4,"
          + "\"seats\":0,\"paidAtSetUp\":true},{\"name\":\"floor\",\"lowestRung\":1,\"highestRung\":3,\"seats\":2,"
          + "\"paidAtSetUp\":false}],\"drainGraceMs\":1000,\"coldMs\":10000,\"startCapacity\":0.4,\"fallMultiple\":2.5,"
          + "\"fallAfterMs\":2000,\"furtherFree\":1,\"furtherShare\":0.2,\"furtherMs\":10000,\"slackMs\":250}";

  private record Line(long ms, int order, String text) {}

  /** Builds a record; events may be added in any order of time. */
  private static final class RecordBuilder {
    private final List<Line> lines = new ArrayList<>();

    RecordBuilder event(long ms, String fields, Object... values) {
      lines.add(
          new Line(
              ms,
              lines.size(),
              "{\"at\":"
                  + ms * 1000
                  + ","
                  + String.format(Locale.ROOT, fields, values).replace('\'', '"')
                  + "}"));
      return this;
    }

    RecordBuilder asked(long ms, String ask, String packageName) {
      return event(
          ms,
          "'what':'asked','ask':'%s','front':0,'key':'%s','title':'t','package':'%s','ceiling':4,"
              + "'patienceMs':3000",
          ask,
          ask,
          packageName);
    }

    RecordBuilder answered(long ms, String ask, String how, String viewing) {
      return event(
          ms,
          "'what':'answered','ask':'%s','front':0,'how':'%s','status':200,'viewing':'%s'",
          ask,
          how,
          viewing);
    }

    RecordBuilder setUp(
        long ms, int box, String viewing, int tuneIn, String key, String packageName, int rung) {
      return event(
          ms,
          "'what':'set-up','box':%d,'viewing':'%s','front':0,'tuneIn':%d,'title':'t','package':'%s',"
              + "'rung':%d,'key':'%s'",
          box,
          viewing,
          tuneIn,
          packageName,
          rung,
          key);
    }

    RecordBuilder setUpAnswered(long ms, int box, String viewing, int tuneIn, String how) {
      return event(
          ms,
          "'what':'set-up-answered','box':%d,'viewing':'%s','tuneIn':%d,'how':'%s'",
          box,
          viewing,
          tuneIn,
          how);
    }

    /** Adds a viewing with its request, one tune-in and the answers. */
    RecordBuilder viewing(long ms, int box, String id, String packageName, int rung) {
      return asked(ms, "k" + id, packageName)
          .setUp(ms + 5, box, "0-a-" + id, 0, "k" + id, packageName, rung)
          .setUpAnswered(ms + 50, box, "0-a-" + id, 0, "plays")
          .answered(ms + 55, "k" + id, "plays", "0-a-" + id);
    }

    RecordBuilder boxState(long ms, int box, String state) {
      return event(ms, "'what':'told','front':0,'box':%d,'state':'%s'", box, state);
    }

    Verdict judge() {
      List<String> text = new ArrayList<>(List.of(TERMS));
      lines.stream()
          .sorted(Comparator.comparingLong(Line::ms).thenComparingInt(Line::order))
          .forEach(l -> text.add(l.text));
      try {
        return Judge.judge(text);
      } catch (InvalidRecordException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Returns a record of every kind of event without any breach. */
  private static RecordBuilder validRecord() {
    return new RecordBuilder()
        .boxState(1, 7, "serving")
        .event(2, "'what':'box-started','box':9,'cold':true,'streams':24")
        .viewing(100, 7, "1", "plain", 2)
        .viewing(200, 7, "2", "floor", 1)
        .viewing(300, 9, "3", "plain", 0)
        .asked(400, "k4", "plain")
        .setUp(405, 7, "0-a-4", 0, "k4", "plain", 0)
        .setUpAnswered(420, 7, "0-a-4", 0, "error")
        .setUp(425, 8, "0-a-4", 1, "k4", "plain", 0)
        .setUpAnswered(460, 8, "0-a-4", 1, "plays")
        .answered(465, "k4", "plays", "0-a-4")
        .boxState(3000, 7, "draining")
        .viewing(5000, 8, "5", "paid", 2);
  }

  private static void assertBreach(RecordBuilder record, String rule, String what) {
    Verdict verdict = record.judge();
    assertEquals(1, verdict.breachCount(rule), verdict.breaches().toString());
    assertEquals(1, verdict.breaches().size(), verdict.breaches().toString());
    assertTrue(verdict.breaches().get(0).what().contains(what), verdict.breaches().toString());
  }

  @Test
  void aValidRecordHasNoBreachesAndChecksEveryRule() {
    Verdict verdict = validRecord().judge();
    assertEquals(List.of(), verdict.breaches());
    Verdict.RULES.forEach(r -> assertTrue(verdict.checkCount(r) > 0, r));
  }

  @Test
  void aMissingAnswerIsFound() {
    assertBreach(validRecord().asked(6000, "k9", "plain"), "one-answer", "0 ends");
    assertBreach(
        validRecord()
            .asked(6000, "k9", "plain")
            .event(9300, "'what':'gave-up','ask':'k9','front':0"),
        "one-answer",
        "gave-up");
  }

  @Test
  void aDuplicateAnswerIsFound() {
    assertBreach(validRecord().answered(600, "k1", "plays", "0-a-1"), "one-answer", "2 ends");
  }

  @Test
  void anAnswerAfterTheDeadlineIsFound() {
    assertBreach(
        validRecord().asked(6000, "k9", "plain").answered(9400, "k9", "blocked", ""),
        "one-answer",
        "after the viewer's");
  }

  @Test
  void anUnclearAnswerAndOneWithoutARunningViewingAreFound() {
    assertBreach(
        validRecord().asked(6000, "k9", "plain").answered(6100, "k9", "unclear", ""),
        "one-answer",
        "unclear");
    assertBreach(
        validRecord().asked(6000, "k9", "plain").answered(6100, "k9", "plays", "0-a-9"),
        "one-answer",
        "no box plays");
  }

  @Test
  void aBrokenConnectionIsExcusedOnlyIfTheFrontWasKilled() {
    RecordBuilder broken =
        validRecord().asked(6000, "k9", "plain").event(6500, "'what':'broke','ask':'k9','front':0");
    assertBreach(broken, "one-answer", "broke");
    assertEquals(
        0, broken.event(6400, "'what':'front-killed','front':0").judge().breaches().size());
    RecordBuilder dead =
        validRecord()
            .event(5900, "'what':'front-killed','front':0")
            .asked(6000, "k9", "plain")
            .event(6010, "'what':'broke','ask':'k9','front':0");
    assertEquals(0, dead.judge().breaches().size(), "a front that is down accepts nothing");
    assertBreach(dead.event(5950, "'what':'front-started','front':0"), "one-answer", "broke");
  }

  @Test
  void aDuplicateSetUpIsFound() {
    assertBreach(
        validRecord().setUp(6000, 8, "0-a-5", 1, "k5", "paid", 2),
        "no-double-set-up",
        "paid for at box 8");
    assertBreach(
        validRecord().setUp(6000, 8, "0-a-1", 0, "k1", "plain", 2), "no-double-set-up", "twice");
  }

  @Test
  void aPaidViewingMayBeRetriedOnlyIfItProvablyNeverRan() {
    RecordBuilder again =
        validRecord()
            .asked(6000, "k9", "paid")
            .setUp(6005, 7, "0-b-9", 0, "k9", "paid", 0)
            .setUpAnswered(6010, 7, "0-b-9", 0, "turned-away")
            .setUp(6020, 8, "0-b-9", 1, "k9", "paid", 0)
            .setUpAnswered(6050, 8, "0-b-9", 1, "plays")
            .answered(6060, "k9", "plays", "0-b-9");
    assertEquals(
        List.of(),
        new ArrayList<>(
            again.judge().breaches().stream()
                .filter(b -> b.rule().equals("no-double-set-up"))
                .toList()));
    assertBreach(
        validRecord()
            .asked(6000, "k9", "paid")
            .setUp(6005, 8, "0-a-9", 0, "k9", "paid", 0)
            .setUpAnswered(6010, 8, "0-a-9", 0, "error")
            .answered(6060, "k9", "blocked", ""),
        "no-double-set-up",
        "blocked");
  }

  @Test
  void concurrentTuneInsOfOneViewingAreFound() {
    assertBreach(
        validRecord()
            .asked(6000, "k9", "plain")
            .setUp(6005, 8, "0-b-9", 0, "k9", "plain", 0)
            .setUp(6400, 9, "0-b-9", 1, "k9", "plain", 0)
            .setUpAnswered(6450, 9, "0-b-9", 1, "plays")
            .answered(6460, "k9", "plays", "0-b-9"),
        "no-double-set-up",
        "two tune-ins out");
  }

  @Test
  void aSetUpAfterTheDrainGracePeriodIsFound() {
    assertBreach(validRecord().viewing(4300, 7, "9", "plain", 0), "drains", "told not to serve");
    assertEquals(
        0,
        validRecord().viewing(3900, 7, "9", "plain", 0).judge().breaches().size(),
        "within the grace period");
    assertEquals(
        0,
        validRecord()
            .event(2900, "'what':'front-stopped','front':0")
            .event(4200, "'what':'front-continued','front':0")
            .viewing(4300, 7, "9", "plain", 0)
            .judge()
            .breaches()
            .size(),
        "a paused front receives reports once it runs again");
    assertBreach(
        validRecord()
            .event(3500, "'what':'told-whole','front':0,'boxes':[7,8,9]")
            .boxState(3400, 6, "serving")
            .viewing(4800, 6, "9", "plain", 0)
            .viewing(4810, 9, "8", "plain", 0),
        "drains",
        "told not to serve");
  }

  @Test
  void aRungOutsideThePackageLimitsIsFound() {
    assertBreach(validRecord().viewing(6000, 8, "9", "floor", 0), "terms", "rung 0");
    assertBreach(
        validRecord().event(7000, "'what':'rung','box':7,'viewing':'0-a-2','rung':0"),
        "terms",
        "rung 0");
    assertBreach(validRecord().viewing(6000, 8, "9", "floor", 4), "terms", "rung 4");
  }

  @Test
  void tooManyViewingsForTheSeatsAreFound() {
    RecordBuilder full = validRecord().viewing(6000, 8, "8", "floor", 1);
    assertEquals(0, full.judge().breaches().size());
    assertBreach(full.viewing(6500, 8, "9", "floor", 1), "terms", "3 viewings of t on 2 seats");
    assertEquals(
        0,
        full.event(6400, "'what':'ended','box':7,'viewing':'0-a-2','why':'asked'")
            .judge()
            .breaches()
            .size());
  }

  @Test
  void anExceededRetryBudgetIsFound() {
    RecordBuilder record = validRecord();
    for (int i = 20; i < 22; i++) { // Seven requests allow 2.4 retries; the last is the third.
      record
          .asked(6000, "k" + i, "plain")
          .setUp(6005, 8, "0-a-" + i, 0, "k" + i, "plain", 0)
          .setUpAnswered(6010, 8, "0-a-" + i, 0, "error")
          .setUp(6020 + i, 8, "0-a-" + i, 1, "k" + i, "plain", 0)
          .setUpAnswered(6100, 8, "0-a-" + i, 1, "plays")
          .answered(6160, "k" + i, "plays", "0-a-" + i);
    }
    assertBreach(record, "further-tune-ins", "3 further tune-ins of 2.4");
  }

  @Test
  void aConnectionCutByTheNetworkIsNotChargedToTheFront() {
    assertEquals(
        0,
        validRecord()
            .asked(600, "k8", "plain")
            .event(610, "'what':'cut','ask':'k8','front':0")
            .event(611, "'what':'broke','ask':'k8','front':0")
            .judge()
            .breaches()
            .size());
    assertBreach(
        validRecord().asked(600, "k8", "plain").event(611, "'what':'broke','ask':'k8','front':0"),
        "one-answer",
        "no answer");
    assertBreach(
        validRecord()
            .asked(600, "k8", "plain")
            .event(610, "'what':'cut','ask':'k8','front':0")
            .answered(620, "k8", "blocked", "")
            .answered(630, "k8", "blocked", ""),
        "one-answer",
        "2 ends");
  }

  @Test
  void anOverloadedColdBoxIsFound() {
    RecordBuilder record = validRecord();
    for (int i = 30; i < 34; i++) {
      record.viewing(400 + 100 * (i - 30), 9, "" + i, "plain", 0);
    }
    assertEquals(
        0, record.judge().breaches().size(), "five set-ups in windows that allow 4.8 or more");
    assertBreach(record.viewing(850, 9, "35", "plain", 0), "cold-boxes", "6 set-ups");
    assertBreach(validRecord().event(8000, "'what':'box-fell','box':9"), "cold-boxes", "fell");
  }

  @Test
  void anUnreadableRecordIsRejected() {
    for (String bad :
        List.of(
            "nonsense",
            "{\"at\":5,\"what\":\"set-up\",\"package\":\"none\"}",
            "{\"at\":\"5\"}",
            "{\"at\":-1,\"what\":\"told\"}",
            "{\"at\":5,\"what\":\"answered\",\"ask\":\"nobody\"}")) {
      InvalidRecordException e =
          assertThrows(InvalidRecordException.class, () -> Judge.judge(List.of(TERMS, bad)), bad);
      assertTrue(e.getMessage().startsWith("line 2: "), e.getMessage());
    }
    assertThrows(InvalidRecordException.class, () -> Judge.judge(List.of()));
  }
}
