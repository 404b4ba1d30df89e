package linengauge.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linengauge.Span;
import linengauge.platform.PlatformFront.Figures;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Sixty fronts as they run on the platform, in virtual time from a seed, judged from what their
 * peers saw.
 */
class FleetDayTest {
  private static FleetDay.Outcome play(Shape shape, double viewersASecond, long seed)
      throws Exception {
    FleetDay.Size u = FleetDay.Size.usual();
    return shape
        .day(
            new FleetDay.Size(
                u.fronts(),
                u.boxes(),
                u.length(),
                viewersASecond,
                u.firstStep(),
                u.warmStep(),
                u.stepsToWarm()),
            seed)
        .play();
  }

  @ParameterizedTest
  @EnumSource
  void onADayOfEachShapeEveryRuleIsKeptAndNoViewingIsLeftStanding(Shape shape) throws Exception {
    FleetDay.Outcome o = play(shape, 110, 1);
    assertEquals(List.of(), o.verdict().breaches(), o.line());
    assertEquals(0, o.count("left standing"), o.line());
    assertTrue(
        o.verdict().checkCount("one-answer") > 1000
            && o.verdict().checkCount("no-double-set-up") > 1000,
        o.line());
    assertTrue(
        shape != Shape.ROLL && shape != Shape.JOIN || o.verdict().checkCount("drains") > 1000,
        o.line());
    assertTrue(shape != Shape.HERD || o.count("handed over") > 1200, o.line());
  }

  @Test
  void theSameSeedPlaysTheSameDay() throws Exception {
    assertEquals(play(Shape.HERD, 40, 3).record(), play(Shape.HERD, 40, 3).record());
  }

  /**
   * The same day, class names exchanged and all names others, in another order: every front decides
   * the same.
   */
  @ParameterizedTest
  @EnumSource(names = {"ROLL", "SPLIT", "JOIN"})
  void whatClassesZonesAndServersAreCalledDecidesNothing(Shape shape) throws Exception {
    FleetDay.Size u = FleetDay.Size.usual();
    FleetDay.Size size =
        new FleetDay.Size(20, 24, u.length(), 60, u.firstStep(), u.warmStep(), u.stepsToWarm());
    FleetDay.Names usual = FleetDay.Names.usual();
    FleetDay.Names other =
        new FleetDay.Names("review", "lesson", "hall-", n -> 0xfff00000L - n * 7919L);
    List<String> record = shape.day(size, 6, usual).play().record();
    List<String> named = shape.day(size, 6, other).play().record();
    assertEquals(record.size(), named.size());
    for (int i = 0; i < record.size(); i++) {
      assertEquals(unnamed(record.get(i), usual), unnamed(named.get(i), other));
    }
    assertTrue(record.stream().filter(l -> l.contains("\"set-up\"")).count() > 500);
  }

  private static String unnamed(String line, FleetDay.Names names) {
    String l =
        line.replace("\"" + names.cheap() + "\"", "\"cheap class\"")
            .replace("\"" + names.dear() + "\"", "\"dear class\"");
    Matcher m = Pattern.compile("\"box\":(\\d+)").matcher(l);
    return m.replaceAll(
        found -> {
          long id = Long.parseLong(found.group(1));
          long number = 0;
          while (names.server().applyAsLong(number) != id) {
            number++;
          }
          return "\"box\":" + number;
        });
  }

  /**
   * What each front does about silence adds up: a new connection to each silent box each 2.5 s were
   * five a viewing.
   */
  @Test
  void onACalmDayConnectionsAndTestsStayUnderOneAndTwoAViewing() throws Exception {
    FleetDay.Outcome o = play(Shape.CALM, 110, 2);
    assertTrue(o.count("connections") < 0.8 * o.count("asked"), o.line());
    assertTrue(o.count("tests") < 1.5 * o.count("asked"), o.line());
    assertEquals(60, o.count("calls for the list"), "one a front");
  }

  /**
   * Where news is too dear, starts at the lowest rung and at the top in turn served 0.54 of what
   * was wanted.
   */
  @Test
  void onACrowdedDayNewcomersTakeTheirPart() throws Exception {
    FleetDay.Outcome o = play(Shape.CALM, 150, 1);
    assertTrue(o.servedShare() > 0.6, o.line());
  }

  @Test
  void overALongDayTablesDoNotGrowAndAreEmptyInTheEnd() throws Exception {
    FleetDay.Outcome o =
        Shape.JOIN
            .day(
                new FleetDay.Size(
                    3, 12, Span.ofSeconds(600), 20, Span.ofMillis(2), new Span(500), 400),
                5)
            .play();
    assertEquals(List.of(), o.verdict().breaches(), o.line());
    for (ToIntFunction<Figures> table :
        List.<ToIntFunction<Figures>>of(
            Figures::viewings,
            Figures::ids,
            Figures::boxesLinked,
            Figures::boxConnections,
            Figures::titles,
            Figures::boxes,
            Figures::viewersConnections)) {
      int half = o.halfWay().stream().mapToInt(table).sum();
      int end = o.atTheEnd().stream().mapToInt(table).sum();
      assertTrue(half > 0 && end <= 1.5 * half + 6, half + " half way, " + end + " at the end");
    }
    for (ToIntFunction<Figures> table :
        List.<ToIntFunction<Figures>>of(
            Figures::viewings, Figures::ids, Figures::titles, Figures::endsUntold)) {
      assertEquals(0, o.afterwards().stream().mapToInt(table).sum(), o.afterwards().toString());
    }
  }

  @Test
  void theJudgeFindsWhatIsPutIntoARecord() throws Exception {
    List<String> record = play(Shape.CALM, 40, 4).record();
    String answered =
        record.stream()
            .filter(l -> l.contains("\"answered\"") && l.contains("plays"))
            .findFirst()
            .orElseThrow();
    List<String> twice = new ArrayList<>(record);
    twice.add(twice.indexOf(answered), answered);
    assertEquals(1, broken(twice, "one-answer"));
    List<String> never = new ArrayList<>(record);
    never.remove(answered);
    assertEquals(1, broken(never, "one-answer"));
    String setUp = record.stream().filter(l -> l.contains("\"set-up\"")).findFirst().orElseThrow();
    List<String> again = new ArrayList<>(record);
    again.add(again.indexOf(setUp), setUp);
    assertTrue(broken(again, "no-double-set-up") > 0);
    List<String> gone = new ArrayList<>(record);
    String box = setUp.replaceFirst(".*\"box\":(\\d+).*", "$1");
    String front = setUp.replaceFirst(".*\"front\":(\\d+).*", "$1");
    String started =
        record.stream()
            .filter(l -> l.contains("\"front-started\""))
            .reduce((a, b) -> b)
            .orElseThrow();
    gone.add(
        gone.indexOf(started) + 1,
        "{\"at\":0,\"what\":\"told\",\"front\":"
            + front
            + ",\"box\":"
            + box
            + ",\"state\":\"not\"}");
    assertTrue(broken(gone, "drains") > 0);
  }

  private static long broken(List<String> record, String rule) throws Exception {
    Verdict v = Judge.judge(record);
    return v.breachCount(rule);
  }
}
