package linengauge.scale.fit;

/** A form in which a cost may grow with size, from the plainest to the steepest. */
public enum GrowthModel {
  CONSTANT("constant"),
  LOGARITHMIC("logarithmic") {
    @Override
    double[] regressors(double size) {
      return new double[] {Math.log(size)};
    }
  },
  LINEAR("straight line") {
    @Override
    double[] regressors(double size) {
      return new double[] {size};
    }
  },
  QUADRATIC("quadratic") {
    @Override
    double[] regressors(double size) {
      return new double[] {size, size * size};
    }
  };

  private final String label;

  GrowthModel(String label) {
    this.label = label;
  }

  /** Its name in tables. */
  public String label() {
    return label;
  }

  /** What the model's coefficients after the intercept are multiplied with. */
  double[] regressors(double size) {
    return new double[0];
  }

  /** How many coefficients it has, the intercept included. */
  public int coefficients() {
    return 1 + regressors(1).length;
  }
}
