package linengauge.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linengauge.Span;
import linengauge.platform.PlatformFront.TableSizes;
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
  private static FleetSimulation.Outcome run(Scenario scenario, double viewersPerSecond, long seed)
      throws Exception {
    FleetSimulation.Size standard = FleetSimulation.Size.standard();
    return scenario
        .simulation(
            new FleetSimulation.Size(
                standard.fronts(),
                standard.boxes(),
                standard.length(),
                viewersPerSecond,
                standard.firstStepCost(),
                standard.warmStepCost(),
                standard.stepsUntilWarm()),
            seed)
        .run();
  }

  @ParameterizedTest
  @EnumSource
  void everyScenarioKeepsEveryRuleAndLeavesNoOrphanedViewing(Scenario scenario) throws Exception {
    FleetSimulation.Outcome outcome = run(scenario, 110, 1);
    assertEquals(List.of(), outcome.verdict().breaches(), outcome.summary());
    assertEquals(0, outcome.count("left standing"), outcome.summary());
    assertTrue(
        outcome.verdict().checkCount("one-answer") > 1000
            && outcome.verdict().checkCount("no-double-set-up") > 1000,
        outcome.summary());
    assertTrue(
        scenario != Scenario.ROLL && scenario != Scenario.JOIN
            || outcome.verdict().checkCount("drains") > 1000,
        outcome.summary());
    assertTrue(scenario != Scenario.HERD || outcome.count("handed over") > 1200, outcome.summary());
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
  void namesOfClassesZonesAndServersDoNotAffectDecisions(Scenario scenario) throws Exception {
    FleetSimulation.Size standard = FleetSimulation.Size.standard();
    FleetSimulation.Size size =
        new FleetSimulation.Size(
            20,
            24,
            standard.length(),
            60,
            standard.firstStepCost(),
            standard.warmStepCost(),
            standard.stepsUntilWarm());
    FleetSimulation.Names standardNames = FleetSimulation.Names.standard();
    FleetSimulation.Names otherNames =
        new FleetSimulation.Names(
            "review", "lesson", "hall-", number -> 0xfff00000L - number * 7919L);
    List<String> record = scenario.simulation(size, 6, standardNames).run().record();
    List<String> renamedRecord = scenario.simulation(size, 6, otherNames).run().record();
    assertEquals(record.size(), renamedRecord.size());
    for (int i = 0; i < record.size(); i++) {
      assertEquals(
          withoutNames(record.get(i), standardNames),
          withoutNames(renamedRecord.get(i), otherNames));
    }
    assertTrue(record.stream().filter(line -> line.contains("\"set-up\"")).count() > 500);
  }

  private static String withoutNames(String line, FleetSimulation.Names names) {
    String text =
        line.replace("\"" + names.lowWorthClass() + "\"", "\"cheap class\"")
            .replace("\"" + names.highWorthClass() + "\"", "\"dear class\"");
    Matcher matcher = Pattern.compile("\"box\":(\\d+)").matcher(text);
    return matcher.replaceAll(
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
   * Guards against connections to silent boxes that add up over all fronts: one new connection of
   * each front to each silent box every 2.5 s makes five connections a viewing.
   */
  @Test
  void withoutFaultsConnectionsAndProbesPerRequestStayBounded() throws Exception {
    FleetSimulation.Outcome outcome = run(Scenario.CALM, 110, 2);
    assertTrue(outcome.count("connections") < 0.8 * outcome.count("asked"), outcome.summary());
    assertTrue(outcome.count("tests") < 1.5 * outcome.count("asked"), outcome.summary());
    assertEquals(60, outcome.count("calls for the list"), "one per front");
  }

  /**
   * Guards against updates that are charged too much: starts that alternate between the lowest rung
   * and the top then serve only 0.54 of the demand.
   */
  @Test
  void underHighLoadNewViewingsGetTheirShare() throws Exception {
    FleetSimulation.Outcome outcome = run(Scenario.CALM, 150, 1);
    assertTrue(outcome.servedShare() > 0.6, outcome.summary());
  }

  @Test
  void tablesStayBoundedOverALongRunAndAreEmptyAfterwards() throws Exception {
    FleetSimulation.Outcome outcome =
        Scenario.JOIN
            .simulation(
                new FleetSimulation.Size(
                    3, 12, Span.ofSeconds(600), 20, Span.ofMillis(2), new Span(500), 400),
                5)
            .run();
    assertEquals(List.of(), outcome.verdict().breaches(), outcome.summary());
    for (ToIntFunction<TableSizes> table :
        List.<ToIntFunction<TableSizes>>of(
            TableSizes::sessions,
            TableSizes::clientSessions,
            TableSizes::linkedServers,
            TableSizes::serverConnections,
            TableSizes::titles,
            TableSizes::servers,
            TableSizes::clientConnections)) {
      int halfWay = outcome.figuresHalfWay().stream().mapToInt(table).sum();
      int atLastArrival = outcome.figuresAtLastArrival().stream().mapToInt(table).sum();
      assertTrue(
          halfWay > 0 && atLastArrival <= 1.5 * halfWay + 6,
          halfWay + " half way, " + atLastArrival + " at the last arrival");
    }
    for (ToIntFunction<TableSizes> table :
        List.<ToIntFunction<TableSizes>>of(
            TableSizes::sessions,
            TableSizes::clientSessions,
            TableSizes::titles,
            TableSizes::pendingReleases)) {
      assertEquals(
          0,
          outcome.figuresAfterSettling().stream().mapToInt(table).sum(),
          outcome.figuresAfterSettling().toString());
    }
  }

  @Test
  void judgeDetectsBreachesInjectedIntoATrafficRecord() throws Exception {
    List<String> record = run(Scenario.CALM, 40, 4).record();
    String answered =
        record.stream()
            .filter(line -> line.contains("\"answered\"") && line.contains("plays"))
            .findFirst()
            .orElseThrow();
    List<String> twice = new ArrayList<>(record);
    twice.add(twice.indexOf(answered), answered);
    assertEquals(1, countBreaches(twice, "one-answer"));
    List<String> never = new ArrayList<>(record);
    never.remove(answered);
    assertEquals(1, countBreaches(never, "one-answer"));
    String setUp =
        record.stream().filter(line -> line.contains("\"set-up\"")).findFirst().orElseThrow();
    List<String> again = new ArrayList<>(record);
    again.add(again.indexOf(setUp), setUp);
    assertTrue(countBreaches(again, "no-double-set-up") > 0);
    List<String> gone = new ArrayList<>(record);
    String box = setUp.replaceFirst(".*\"box\":(\\d+).*", "$1");
    String front = setUp.replaceFirst(".*\"front\":(\\d+).*", "$1");
    String started =
        record.stream()
            .filter(line -> line.contains("\"front-started\""))
            .reduce((earlier, later) -> later)
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
    Verdict verdict = Judge.judge(record);
    return verdict.breachCount(rule);
  }
}
