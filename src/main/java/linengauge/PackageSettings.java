package linengauge;

/**
 * The terms of one package.
 *
 * @param value weight of a viewing of this package in comparison with others
 * @param latencyObjective time within which a viewing should play
 * @param rateFactor factor on the rates of the ladder
 * @param maxViewingsPerTitle viewings of one title that a front may have at once; 0: no limit
 * @param paidAtSetUp a set-up that may have run is not repeated
 */
public record PackageSettings(
    double value,
    Span latencyObjective,
    double rateFactor,
    int lowestRung,
    int highestRung,
    int maxViewingsPerTitle,
    boolean paidAtSetUp) {}
