package linengauge.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import linengauge.site.InvalidSiteException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DrillTest {
  /**
   * Runs front processes and stand-ins through twelve kinds of faults, including a suspended and a
   * killed front, and checks all six rules.
   */
  @Test
  void shortBadDayPasses() throws Exception {
    Report report = new DayDrill(DayScript.read("builtin:bad-day-short"), 1, null, true).run();
    var table = new ByteArrayOutputStream();
    report.print(new PrintStream(table, true, StandardCharsets.UTF_8));
    assertTrue(report.hasPassed(), table.toString(StandardCharsets.UTF_8));
  }

  private static final String DRAWN =
      """
            {"site":"a place","family":"streams","kind":"only:x","length":90000000,"zones":["n","s"],
            "traffic":{"load":0.5,"shape":[[0,0.5],[90,1.5]]},"clients":{"max_retry_after":2000000},
            "discovery":{"notice":1500000},"allow":{"probes":true,"peers":false,"max_attempts":3},"drain_grace":1000000,
            "fall_multiple":2.5,"fall_for":1500000,"budget":{"share":%s,"free":3,"window":10000000},
            "prices":{"probe":0.01,"cross_zone":0.02},"classes":[{"name":"c","share":1,"aim":800000,"deadline":3000000,
            "worth":2,"effect":"%s"}],"tiers":[{"kinds":[{"cores":2}],"report_how":"probe","report_fields":["x0","x1"],
            "stated_cold":12000000,"stated_cold_from":0.4}],"servers":[%s],"balancers":[1,2,3,4,5,6],
            "troubles":[{"kind":"hang","at":5000000,"len":9000000,"on":[1,2,3,4],"size":0,"extra":0},
            {"kind":"balancer_stall","at":8000000,"len":9000000,"on":[1,2],"size":1700,"extra":3,"how":"apart"},
            {"kind":"burst","at":70000000,"len":9000000,"on":[],"size":2,"extra":0}],
            "fam":{"racks":6,"rates":[100,200,400],"core_kb":1000,"core_slots":10,"uplink_kb":[4000,4000,4000,4000,4000,4000],
            "see":900000,"tell":0,"worth":[0.2,0.6,1],"capacity":10,"life_s":20,"titles":30,"copies":0,
            "uses":[{"floor":1,"top":2,"scale":1.4,"seats":4}]}}""";

  private static DayImporter.Imported importDay(String share, String effect) throws IOException {
    String servers = "{\"kind\":0},".repeat(24);
    return DayImporter.read(
        String.format(DRAWN, share, effect, servers.substring(0, servers.length() - 1))
            .getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void importedDayKeepsProportions() throws Exception {
    DayImporter.Imported imported = importDay("0.2", "unsafe");
    DayScript day = DayScript.parse("drawn", imported.script().getBytes(StandardCharsets.UTF_8));
    assertEquals(12, day.fleet().boxes());
    assertEquals(3, day.fronts().count());
    assertEquals(3, day.fleet().racks());
    assertEquals(2.5, day.traffic().perSecond(), "half of ten a second, for half of the boxes");
    assertEquals(1.0, day.traffic().arrivalMultiple(45));
    assertEquals("c", day.paidPasses().get(0));
    assertEquals(
        24 * 2000 / 6.0 / 4000,
        day.fleet().boxes() * day.fleet().linkKb() / 3 / day.fleet().uplinkKb(),
        0.51,
        "links over uplinks");
    assertEquals(95 / 200.0, day.ladder().get(0).kb() / 100, 0.001);
    assertEquals(4 / 24.0, day.troubles().get(0).part(), 0.001);
    assertEquals(1.7, day.troubles().get(1).size());
    assertEquals(2, day.troubles().size(), "the third lies past the end");
    assertTrue(
        imported.changes().stream().anyMatch(change -> change.contains("past the end"))
            && day.rules().furtherMs() == 10_000);
    assertEquals(
        0,
        DayScript.parse("drawn", importDay("0", "safe").script().getBytes(StandardCharsets.UTF_8))
            .rules()
            .furtherMs());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "[]", "{\"family\":\"proxy\"}", "{\"family\":\"streams\",\"troubles\":[]}"})
  void importRejectsOtherInput(String text) {
    assertThrows(IOException.class, () -> DayImporter.read(text.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void invalidScriptIsReportedWithItsLocation() {
    InvalidSiteException e =
        assertThrows(
            InvalidSiteException.class,
            () ->
                DayScript.parse(
                    "d",
                    "{ name: 'x',\n troubles: [ { atS: 1, forS: 1, kind: 'rain' } ] }"
                        .getBytes(StandardCharsets.UTF_8)));
    assertTrue(e.getMessage().contains("d:2: troubles[0].kind"), e.getMessage());
    assertThrows(IOException.class, () -> DayScript.read("nowhere.json5"));
  }
}
