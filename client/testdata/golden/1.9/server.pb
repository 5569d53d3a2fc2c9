s1x:1"a*ready08BmuteJ
alook	Rbecause; a = bÂ>to come