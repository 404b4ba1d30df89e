package linengauge.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linengauge.scale.ScaleResult.Kind;

/**
 * The tables of a page, printed from results between a line {@code <!-- table: NAME -->} and a line
 * {@code <!-- end -->}. What stands outside these is left alone.
 */
public final class PageTables {
  /** Names of the tables. */
  public static final List<String> NAMES =
      List.of(
          "membership-gossip",
          "membership-lease",
          "membership-events",
          "membership-detection",
          "control-machines",
          "hollow-fronts",
          "real-fronts",
          "fits");

  /** Roles and events by which measurements are sorted into tables. */
  public static final String FRONT = "front";

  public static final String CONTROL_MACHINE = "control machine";
  public static final String DETECTION = "detection";
  public static final String QUIET = "quiet";
  public static final String GOSSIP = "gossip";
  public static final String LEASE = "lease";
  public static final String SERVE = "serve";

  /** Events that are shown at all sizes and fitted on the page; `scale fit` shows all. */
  static final Set<String> PLAIN_EVENTS = Set.of(QUIET, "start", "front killed", "whole run");

  private static final Pattern TABLE =
      Pattern.compile("<!-- table: (\\S+) -->\n(.*?)<!-- end -->", Pattern.DOTALL);
  private static final Pattern BEGIN = Pattern.compile("<!-- table: ");
  private static final Pattern END = Pattern.compile("<!-- end -->");

  private PageTables() {}

  /** A page whose markers cannot be used. */
  public static final class BadPage extends Exception {
    private static final long serialVersionUID = 1L;

    BadPage(String reason) {
      super(reason);
    }
  }

  /** The page with its tables printed anew. */
  public static String printed(String page, List<ScaleResult> results) throws BadPage {
    long markers = BEGIN.matcher(page).results().count();
    if (markers != END.matcher(page).results().count()
        || markers != TABLE.matcher(page).results().count()) {
      throw new BadPage("a '<!-- table: NAME -->' without its '<!-- end -->', or the other way");
    }
    Matcher tables = TABLE.matcher(page);
    List<String> found = new ArrayList<>();
    StringBuilder printed = new StringBuilder();
    while (tables.find()) {
      String name = tables.group(1);
      if (!NAMES.contains(name) || found.contains(name)) {
        throw new BadPage("no table, or twice: '" + name + "'");
      }
      found.add(name);
      String text = "<!-- table: " + name + " -->\n" + table(name, results) + "<!-- end -->";
      tables.appendReplacement(printed, Matcher.quoteReplacement(text));
    }
    return tables.appendTail(printed).toString();
  }

  /** Names of the tables that the page has no place for. */
  public static List<String> missing(String page) {
    return NAMES.stream().filter(name -> !page.contains("<!-- table: " + name + " -->")).toList();
  }

  private static String table(String name, List<ScaleResult> results) {
    if (name.equals("fits")) {
      return FitTable.text(results);
    }
    return new FigureTable(results, belongs(name)).text();
  }

  private static BiPredicate<ScaleResult, Measurement> belongs(String table) {
    return switch (table) {
      case "membership-gossip" -> (result, m) -> quietFront(result, m, GOSSIP);
      case "membership-lease" -> (result, m) -> quietFront(result, m, LEASE);
      case "membership-events" ->
          (result, m) -> simulated(result) && m.role().equals(FRONT) && !m.event().equals(QUIET);
      case "membership-detection" -> (result, m) -> simulated(result) && m.role().equals(DETECTION);
      case "control-machines" ->
          (result, m) -> simulated(result) && m.role().equals(CONTROL_MACHINE);
      case "hollow-fronts" -> (result, m) -> !simulated(result) && !m.subject().equals(SERVE);
      case "real-fronts" -> (result, m) -> m.subject().equals(SERVE);
      default -> throw new IllegalArgumentException(table);
    };
  }

  private static boolean simulated(ScaleResult result) {
    return result.kind() == Kind.SIMULATED;
  }

  private static boolean quietFront(ScaleResult result, Measurement m, String mechanism) {
    return simulated(result)
        && m.subject().equals(mechanism)
        && m.role().equals(FRONT)
        && m.event().equals(QUIET);
  }
}
