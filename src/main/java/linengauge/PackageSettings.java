package linengauge;

/** What is agreed for one package; seats 0: no limit. */
public record PackageSettings(
    double value,
    Span joinTarget,
    double rateFactor,
    int lowestRung,
    int highestRung,
    int seats,
    boolean paidAtSetUp) {}
