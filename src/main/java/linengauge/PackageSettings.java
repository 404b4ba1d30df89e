package linengauge;

/** What is agreed for one package; seats 0: no limit. */
public record PackageSettings(
    double value,
    Span latencyObjective,
    double rateFactor,
    int lowestRung,
    int highestRung,
    int maxViewingsPerTitle,
    boolean paidAtSetUp) {}
