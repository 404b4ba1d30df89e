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
 * Runs sixty fronts of the platform in virtual time from a seed, and judges them by the record of
 * their peers.
 */
class FleetSimulationTest {
  private static FleetSimulation.Outcome run(Scenario shape, double viewersASecond, long seed)
      throws Exception {
    FleetSimulation.Size u = FleetSimulation.Size.standard();
    return shape
        .simulation(
            new FleetSimulation.Size(
                u.fronts(),
                u.boxes(),
                u.length(),
                viewersASecond,
                u.firstStepCost(),
                u.warmStepCost(),
                u.stepsUntilWarm()),
            seed)
        .run();
  }

  @ParameterizedTest
  @EnumSource
  void everyScenarioKeepsEveryRuleAndLeavesNoOrphanedViewing(Scenario shape) throws Exception {
    FleetSimulation.Outcome o = run(shape, 110, 1);
    assertEquals(List.of(), o.verdict().breaches(), o.summary());
    assertEquals(0, o.count("left standing"), o.summary());
    assertTrue(
        o.verdict().checked("one-answer") > 1000 && o.verdict().checked("no-double-set-up") > 1000,
        o.summary());
    assertTrue(
        shape != Scenario.ROLL && shape != Scenario.JOIN || o.verdict().checked("drains") > 1000,
        o.summary());
    assertTrue(shape != Scenario.HERD || o.count("handed over") > 1200, o.summary());
  }

  @Test
  void sameSeedGivesSameTrafficRecord() throws Exception {
    assertEquals(run(Scenario.HERD, 40, 3).record(), run(Scenario.HERD, 40, 3).record());
  }

  /**
   * Runs the same scenario with the names of the classes swapped and all other names changed, so
   * that they sort differently. No front's decision may depend on names.
   */
  @ParameterizedTest
  @EnumSource(names = {"ROLL", "SPLIT", "JOIN"})
  void namesOfClassesZonesAndServersDoNotAffectDecisions(Scenario shape) throws Exception {
    FleetSimulation.Size u = FleetSimulation.Size.standard();
    FleetSimulation.Size size =
        new FleetSimulation.Size(
            20, 24, u.length(), 60, u.firstStepCost(), u.warmStepCost(), u.stepsUntilWarm());
    FleetSimulation.Names usual = FleetSimulation.Names.standard();
    FleetSimulation.Names other =
        new FleetSimulation.Names("review", "lesson", "hall-", n -> 0xfff00000L - n * 7919L);
    List<String> record = shape.simulation(size, 6, usual).run().record();
    List<String> named = shape.simulation(size, 6, other).run().record();
    assertEquals(record.size(), named.size());
    for (int i = 0; i < record.size(); i++) {
      assertEquals(withoutNames(record.get(i), usual), withoutNames(named.get(i), other));
    }
    assertTrue(record.stream().filter(l -> l.contains("\"set-up\"")).count() > 500);
  }

  private static String withoutNames(String line, FleetSimulation.Names names) {
    String l =
        line.replace("\"" + names.lowWorthClass() + "\"", "\"cheap class\"")
            .replace("\"" + names.highWorthClass() + "\"", "\"dear class\"");
    Matcher m = Pattern.compile("\"box\":(\\d+)").matcher(l);
    return m.replaceAll(
        found -> {
          long id = Long.parseLong(found.group(1));
          long number = 0;
          while (names.serverId().applyAsLong(number) != id) {
            number++;
          }
          return "\"box\":" + number;
        });
  }

  /**
   * Guards against reconnects of all fronts to silent boxes that add up: one new connection to each
   * silent box every 2.5 s makes five connections a request.
   */
  @Test
  void withoutFaultsConnectionsAndProbesPerRequestStayBounded() throws Exception {
    FleetSimulation.Outcome o = run(Scenario.CALM, 110, 2);
    assertTrue(o.count("connections") < 0.8 * o.count("asked"), o.summary());
    assertTrue(o.count("tests") < 1.5 * o.count("asked"), o.summary());
    assertEquals(60, o.count("calls for the list"), "one a front");
  }

  /**
   * Guards against a charge for discovery that is too high: starts that alternate between the
   * lowest rung and the top then serve only 0.54 of the demand.
   */
  @Test
  void underHighLoadNewViewingsGetTheirShare() throws Exception {
    FleetSimulation.Outcome o = run(Scenario.CALM, 150, 1);
    assertTrue(o.servedShare() > 0.6, o.summary());
  }

  @Test
  void tablesStayBoundedOverALongRunAndAreEmptyAfterwards() throws Exception {
    FleetSimulation.Outcome o =
        Scenario.JOIN
            .simulation(
                new FleetSimulation.Size(
                    3, 12, Span.ofSeconds(600), 20, Span.ofMillis(2), new Span(500), 400),
                5)
            .run();
    assertEquals(List.of(), o.verdict().breaches(), o.summary());
    for (ToIntFunction<Figures> table :
        List.<ToIntFunction<Figures>>of(
            Figures::viewings,
            Figures::ids,
            Figures::boxesLinked,
            Figures::boxConnections,
            Figures::titles,
            Figures::boxes,
            Figures::viewersConnections)) {
      int half = o.figuresHalfWay().stream().mapToInt(table).sum();
      int end = o.figuresAtLastArrival().stream().mapToInt(table).sum();
      assertTrue(half > 0 && end <= 1.5 * half + 6, half + " half way, " + end + " at the end");
    }
    for (ToIntFunction<Figures> table :
        List.<ToIntFunction<Figures>>of(
            Figures::viewings, Figures::ids, Figures::titles, Figures::endsUntold)) {
      assertEquals(
          0,
          o.figuresAfterSettling().stream().mapToInt(table).sum(),
          o.figuresAfterSettling().toString());
    }
  }

  @Test
  void judgeDetectsBreachesInjectedIntoATrafficRecord() throws Exception {
    List<String> record = run(Scenario.CALM, 40, 4).record();
    String answered =
        record.stream()
            .filter(l -> l.contains("\"answered\"") && l.contains("plays"))
            .findFirst()
            .orElseThrow();
    List<String> twice = new ArrayList<>(record);
    twice.add(twice.indexOf(answered), answered);
    assertEquals(1, countBreaches(twice, "one-answer"));
    List<String> never = new ArrayList<>(record);
    never.remove(answered);
    assertEquals(1, countBreaches(never, "one-answer"));
    String setUp = record.stream().filter(l -> l.contains("\"set-up\"")).findFirst().orElseThrow();
    List<String> again = new ArrayList<>(record);
    again.add(again.indexOf(setUp), setUp);
    assertTrue(countBreaches(again, "no-double-set-up") > 0);
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
    assertTrue(countBreaches(gone, "drains") > 0);
  }

  private static long countBreaches(List<String> record, String rule) throws Exception {
    Verdict v = Judge.judge(record);
    return v.broken(rule);
  }
}
