package linengauge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linengauge.scale.PageTables.BadPage;
import linengauge.scale.ScaleResult.Completeness;
import org.junit.jupiter.api.Test;

/** Guards against figures on the page that no result file holds. */
class PageTablesTest {
  private static final Path PAGE = Path.of("docs/CAPACITY.md");
  private static final Path RESULTS = Path.of("docs/measurements/scale");
  private static final String EMPTY =
      "# Page\n\nprose 1\n<!-- table: membership-gossip -->\n<!-- end -->\nprose 2\n"
          + "<!-- table: fits -->\nold\n<!-- end -->\nprose 3\n";

  @Test
  void theTablesOfThePageAreThoseOfTheResults() throws Exception {
    String page = Files.readString(PAGE);
    assertEquals(
        PageTables.printed(page, ScaleResultFile.readAll(RESULTS)),
        page,
        "print them anew: linengauge scale tables");
    assertEquals(List.of(), PageTables.missing(page), "tables without a place on the page");
  }

  @Test
  void aDoctoredPageDiffers() throws Exception {
    String page = PageTables.printed(EMPTY, List.of(Results.line()));
    assertEquals(page, PageTables.printed(page, List.of(Results.line())));
    String doctored = page.replaceFirst("1,800", "1,700");
    assertNotEquals(page, doctored);
    assertNotEquals(doctored, PageTables.printed(doctored, List.of(Results.line())));
  }

  @Test
  void aDoctoredResultDiffers() throws Exception {
    String page = PageTables.printed(EMPTY, List.of(Results.line()));
    ScaleResult doctored =
        Results.gossip(
            Completeness.COMPLETE,
            Results.bytes(60, 120, 120),
            Results.bytes(220, 440, 441),
            Results.bytes(440, 870, 890),
            Results.bytes(900, 1800, 1800));
    assertNotEquals(page, PageTables.printed(page, List.of(doctored)));
    assertNotEquals(page, PageTables.printed(page, List.of()));
  }

  @Test
  void proseRoundTheTablesStays() throws Exception {
    String page = PageTables.printed(EMPTY, List.of(Results.line()));
    for (String prose : List.of("prose 1\n<!--", "end -->\nprose 2\n<!--", "end -->\nprose 3\n")) {
      assertTrue(page.contains(prose), page);
    }
    assertFalse(page.contains("old"), page);
  }

  @Test
  void figuresStandWithTheirRangeAndSource() throws Exception {
    String page = PageTables.printed(EMPTY, List.of(Results.line()));
    assertTrue(page.contains("| 440 fronts | 880 (870 to 890) | 1 |"), page);
    assertTrue(
        page.contains(
            "- run 1: `linengauge scale simulate --mechanism gossip`; seeds 1, 2; 2 a size;"
                + " 2026-12-02; simulated; 8 cores, 24,000 MB, Java 17\n"),
        page);
    assertTrue(page.contains("| 3,600 | extrapolated, 2.00 times the largest |"), page);
  }

  @Test
  void partialResultsAreMarkedAndNotFitted() throws Exception {
    ScaleResult partial = Results.line().with(Completeness.PARTIAL, Results.line().measurements());
    String page = PageTables.printed(EMPTY, List.of(partial));
    assertTrue(page.contains("**partial**"), page);
    assertTrue(page.contains("<!-- table: fits -->\nNot measured.\n<!-- end -->"), page);
  }

  @Test
  void ofEventsOtherThanThePlainOnesTheLargestSizeStandsAlone() throws Exception {
    ScaleResult zones =
        Results.gossip(
            Completeness.COMPLETE,
            Results.bytes("zone lost", 60, 1),
            Results.bytes("zone lost", 220, 2),
            Results.bytes("start", 60, 3));
    String empty = "<!-- table: membership-events -->\n<!-- end -->\n";
    String page = PageTables.printed(empty, List.of(zones));
    assertFalse(page.contains("| zone lost | 60 fronts |"), page);
    assertTrue(page.contains("| zone lost | 220 fronts | 2 | 1 |"), page);
    assertTrue(page.contains("| start | 60 fronts | 3 | 1 |"), page);
  }

  @Test
  void aLineThatDoesNotHoldGivesNoFigureAtTheTarget() throws Exception {
    ScaleResult wild =
        Results.gossip(
            Completeness.COMPLETE,
            Results.bytes(60, 500),
            Results.bytes(220, 10),
            Results.bytes(440, 9000),
            Results.bytes(900, 20));
    String page = PageTables.printed(EMPTY, List.of(wild));
    assertTrue(page.contains("| 1,800 |  | no: "), page);
  }

  @Test
  void badMarkersAreRefused() {
    for (String bad :
        List.of(
            "<!-- table: fits -->\n",
            "<!-- end -->\n",
            "<!-- table: fits -->\n<!-- table: fits -->\n<!-- end -->\n",
            "<!-- table: nonsense -->\n<!-- end -->\n",
            "<!-- table: fits -->\n<!-- end -->\n<!-- table: fits -->\n<!-- end -->\n")) {
      assertThrows(BadPage.class, () -> PageTables.printed(bad, List.of()), bad);
    }
  }
}
